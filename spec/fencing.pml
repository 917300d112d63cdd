/*
 * Orders to endpoints with fencing tokens (design 6.6).
 *
 * Controller 0 holds token 1 and a lease until LEASE_END. Controllers 1 and 2
 * compete for token 2 with compare-and-swap, whose answer may be lost after it
 * took effect. A controller may be paused between any two of its steps, also
 * between the check of its lease and the write of an order; orders may arrive
 * late. Endpoint 0 refuses a token lower than the highest it has seen; endpoint
 * 1 ignores tokens.
 *
 * Timing assumption: an order that passed the lease check takes effect, or
 * never will, at most DELAY after the lease's end. VARIANT_UNBOUNDED_DELAY drops it.
 *
 * DESIGN_AS_WRITTEN: the new controller waits for the end of the old lease only.
 * VARIANT_ENDPOINT_FORGETS: endpoint 0 loses its highest token when it restarts;
 * VARIANT_WAIT_ALWAYS: the new controller waits for every endpoint.
 */
#define LEASE_END 1
#define DELAY 1
#define LAST 5
#define NOBODY 3

#define IDLE    0
#define CHECKED 1
#define SENT    2
#define DONE    3

byte now;
byte token_owner = NOBODY;
byte token[3];
bool swap[3];
bool waiting[3];

/* Order state by endpoint * 3 + controller, and the state read back. */
byte order[6];
bool read_back[6];
byte view[6];

byte highest[2];
byte value[2];
byte value_token[2];
bool restarted;

#define AT(e, c) ((e) * 3 + (c))

#if defined(MUTANT_NO_WAIT)
#define WAITED true
#elif defined(DESIGN_AS_WRITTEN)
#define WAITED (now >= LEASE_END)
#else
#define WAITED (now > LEASE_END + DELAY)
#endif

#ifdef VARIANT_WAIT_ALWAYS
#define WAITED_CHECKING WAITED
#else
#define WAITED_CHECKING true
#endif

#ifdef VARIANT_UNBOUNDED_DELAY
#define OVERDUE false
#else
#define OVERDUE (now == LEASE_END + DELAY && \
	(order[0] == CHECKED || order[0] == SENT || order[3] == CHECKED || order[3] == SENT))
#endif

#ifdef MUTANT_TOKEN_NOT_CHECKED
#define ACCEPTS(e, c) true
#else
#define ACCEPTS(e, c) ((e) == 1 || token[c] >= highest[e])
#endif

inline deliver(e, c) {
	order[AT(e, c)] = DONE;
	if
	:: ACCEPTS(e, c) ->
		printf("endpoint %d applies the order of controller %d with token %d\n", e, c, token[c]);
		assert(token[c] >= value_token[e]);
		assert(token[c] != value_token[e] || value[e] == c + 1);
#ifdef WITNESS_NEW_AFTER_OLD
		assert(!(c > 0 && value[e] == 1));
#endif
		/* An order of a new controller is computed from the state it read. */
		assert(c == 0 || e == 0 || view[AT(e, c)] == value[e]);
		highest[e] = token[c]; value[e] = c + 1; value_token[e] = token[c]
	:: else ->
		printf("endpoint %d refuses the order of controller %d\n", e, c)
	fi
}

proctype first(byte e) {
	do
	:: atomic { order[AT(e, 0)] == IDLE && now < LEASE_END ->
		order[AT(e, 0)] = CHECKED; printf("controller 0 checks its lease for endpoint %d\n", e) }
	:: atomic { order[AT(e, 0)] == CHECKED ->
		order[AT(e, 0)] = SENT; printf("controller 0 writes an order to endpoint %d\n", e) }
	:: atomic { order[AT(e, 0)] == SENT -> deliver(e, 0) }
	:: atomic { order[AT(e, 0)] == SENT -> order[AT(e, 0)] = DONE }
	od
}

proctype successor(byte c) {
	do
	:: atomic { !waiting[c] && token[c] == 0 && now >= LEASE_END ->
		waiting[c] = true; swap[c] = true; printf("controller %d asks for token 2\n", c) }
	:: atomic { swap[c] ->
		swap[c] = false;
		if
		:: token_owner == NOBODY -> token_owner = c; printf("controller %d is recorded for token 2\n", c)
		:: else
		fi }
	/* The answer, or the record read back after a lost answer. */
	:: atomic { waiting[c] && !swap[c] && token[c] == 0 && token_owner == c ->
		token[c] = 2; printf("controller %d holds token 2\n", c) }
#ifdef MUTANT_LOST_ANSWER_IS_SUCCESS
	:: atomic { waiting[c] && !swap[c] && token[c] == 0 ->
		token[c] = 2; printf("controller %d takes the lost answer for success\n", c) }
#endif
	:: atomic { token[c] == 2 && order[AT(0, c)] == IDLE && WAITED_CHECKING ->
		order[AT(0, c)] = SENT; printf("controller %d writes an order to endpoint 0\n", c) }
	:: atomic { token[c] == 2 && order[AT(1, c)] == IDLE && !read_back[AT(1, c)] && WAITED ->
		read_back[AT(1, c)] = true;
#ifndef MUTANT_NO_READ_BACK
		view[AT(1, c)] = value[1];
#endif
		printf("controller %d reads the state of endpoint 1\n", c) }
	:: atomic { read_back[AT(1, c)] && order[AT(1, c)] == IDLE ->
		order[AT(1, c)] = SENT; printf("controller %d writes an order to endpoint 1\n", c) }
	:: atomic { order[AT(0, c)] == SENT -> deliver(0, c) }
	:: atomic { order[AT(1, c)] == SENT -> deliver(1, c) }
	:: atomic { order[AT(0, c)] == SENT -> order[AT(0, c)] = DONE }
	:: atomic { order[AT(1, c)] == SENT -> order[AT(1, c)] = DONE }
	od
}

proctype environment() {
	do
	:: atomic { now < LAST && !OVERDUE -> now++; printf("time %d\n", now) }
#ifdef VARIANT_ENDPOINT_FORGETS
	:: atomic { !restarted -> restarted = true; highest[0] = 0; printf("endpoint 0 restarts\n") }
#endif
	od
}

init {
	atomic {
		token[0] = 1;
		run first(0); run first(1); run successor(1); run successor(2); run environment()
	}
}
