/*
 * Answers on a shared connection (invariant 5, design 7).
 *
 * Calls of two programs (call c belongs to program c % 2) share one connection
 * between two hosts. A call may be cancelled while its answer is on the way,
 * and the connection may break and be opened again; stream ids start at 1 on
 * every connection. An answer is written to the connection its call came from,
 * and a stream id is used once per connection.
 */
#define CALLS 4
#define IDLE    0
#define WAITING 1
#define ENDED   2

byte connection = 1;
byte next_stream = 1;
byte state[CALLS];
byte stream[CALLS];
byte opened_on[CALLS];
bool running[CALLS];
/* Answers on the way. */
bool answer[CALLS];
byte answer_on[CALLS];

inline take_stream(c) {
#ifdef MUTANT_STREAM_ID_REUSED
	stream[c] = 1;
	do
	:: (state[0] == WAITING && stream[0] == stream[c] && c != 0) ||
	   (state[1] == WAITING && stream[1] == stream[c] && c != 1) ||
	   (state[2] == WAITING && stream[2] == stream[c] && c != 2) ||
	   (state[3] == WAITING && stream[3] == stream[c] && c != 3) -> stream[c]++
	:: else -> break
	od
#else
	stream[c] = next_stream; next_stream++
#endif
}

inline receive(c, w) {
	if
	:: state[w] == WAITING && opened_on[w] == answer_on[c] && stream[w] == stream[c] ->
		state[w] = ENDED; answer[c] = false;
		printf("call %d of program %d gets the answer to call %d of program %d\n", w, w % 2, c, c % 2);
		assert(w == c)
	:: else
	fi
}

proctype call(byte c) {
	do
	:: atomic { state[c] == IDLE ->
		take_stream(c); opened_on[c] = connection; running[c] = true; state[c] = WAITING;
		printf("call %d opens stream %d on connection %d\n", c, stream[c], connection) }
	:: atomic { state[c] == WAITING -> state[c] = ENDED; printf("call %d is cancelled\n", c) }
	:: atomic { running[c] ->
		running[c] = false; answer[c] = true;
#ifdef MUTANT_ANSWER_ON_CURRENT_CONNECTION
		answer_on[c] = connection;
#else
		answer_on[c] = opened_on[c];
#endif
		printf("answer to call %d is written on connection %d\n", c, answer_on[c]) }
	:: atomic { answer[c] && answer_on[c] == connection ->
		receive(c, 0); receive(c, 1); receive(c, 2); receive(c, 3);
#ifdef WITNESS_ANSWER_DROPPED
		assert(!answer[c]);
#endif
		answer[c] = false }
	:: atomic { answer[c] && answer_on[c] != connection -> answer[c] = false; printf("answer to call %d is lost\n", c) }
	od
}

proctype environment() {
	byte c;
	do
	:: atomic { connection < 3 ->
		connection++; next_stream = 1;
		c = 0;
		do
		:: c < CALLS ->
			if
			:: state[c] == WAITING -> state[c] = ENDED
			:: else
			fi;
			c++
		:: else -> break
		od;
		c = 0;
		printf("connection breaks, connection %d is opened\n", connection) }
	od
}

init {
	atomic { run call(0); run call(1); run call(2); run call(3); run environment() }
}
