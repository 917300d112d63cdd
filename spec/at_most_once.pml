/*
 * At most once and not_run (design 6.3, 6.4).
 *
 * One business action of a caller that may not be repeated. Host h issues the
 * token of key h under epoch h+1: host 0 is the first home, host 1 its
 * successor, host 2 the successor of host 1. The caller moves on to the next
 * key only after not_run; it repeats every attempt with the token of the first.
 * Zone 0 holds host 0 and copy 0; zone 1 holds hosts 1 and 2, copy 1 and the
 * platform. A message that was sent may arrive at any later time and any number
 * of times, except a dispatch, which is delivered once or lost.
 *
 * VARIANT_SUCCESSOR_NOT_RUN: a successor may say not_run for an older key when
 * it found no intent of the key in a copy whose fence it raised.
 * VARIANT_NO_INTENT: a home dispatches without recording an intent.
 */
#define UP      0
#define PAUSED  1
#define GONE    2

#define FRESH      0
#define RECORDING  1
#define DISPATCHED 2
#define COMPLETED  3
#define CLOSED     4

#define KEYS 3
#define BIT(k) (1 << (k))
#define EPOCH(h) ((h) + 1)
#define ZONE(h) ((h) != 0)
#define REACH(a, b) ((a) == (b) || !cut)
#define PLATFORM(h) (platform_up && REACH(ZONE(h), 1))

bool cut;
bool platform_up = true;
byte alive[KEYS];
bool ended[KEYS];
bool named[KEYS];
bool taken[KEYS];

byte phase[KEYS];
byte acks[KEYS];

byte fence[2];
byte intent[2];
byte result[2];
byte known_intent[KEYS];
byte known_result[KEYS];
byte known_closed[KEYS];

bool sent[KEYS];
byte current;
byte inflight[KEYS];
bool answer[KEYS];
byte executed[KEYS];
byte ran;
bool not_run[KEYS];
#ifdef MUTANT_QUARANTINE_NOT_RUN
bool crashed[KEYS];
#endif
#ifdef MUTANT_TAKEOVER_DISPATCHES
bool redispatched;
#endif

inline say_not_run(k) {
	printf("not_run is returned for key %d\n", k);
	not_run[k] = true;
	assert(executed[k] == 0)
}

inline close_key(k) {
#ifdef MUTANT_NOT_RUN_NOT_CLOSED
	phase[k] = FRESH;
	acks[k] = 0;
#else
	phase[k] = CLOSED;
#endif
	say_not_run(k)
}

inline append_intent(h, c) {
	if
#ifdef MUTANT_NO_FENCE
	:: true ->
#else
	:: fence[c] <= EPOCH(h) ->
		fence[c] = EPOCH(h);
#endif
		intent[c] = intent[c] | BIT(h);
		if
		:: acks[h] = acks[h] | BIT(c);
		   printf("home %d records its intent at copy %d\n", h, c)
		:: printf("home %d records its intent at copy %d, the answer is lost\n", h, c)
		fi
#ifndef MUTANT_NO_FENCE
	:: else ->
		printf("copy %d refuses the intent of home %d (fence %d)\n", c, h, fence[c]);
		close_key(h)
#endif
	fi
}

inline read_copy(h, c) {
	fence[c] = EPOCH(h);
	known_intent[h] = known_intent[h] | intent[c];
	known_result[h] = known_result[h] | result[c];
	taken[h] = true;
	printf("host %d reads copy %d and raises its fence to %d\n", h, c, EPOCH(h))
}

#define ISSUED(h) ((h) == 0 || taken[h])

#if defined(MUTANT_INTENT_ONE_COPY)
#define RECORDED(h) (acks[h] != 0)
#elif defined(VARIANT_NO_INTENT)
#define RECORDED(h) true
#else
#define RECORDED(h) (acks[h] == 3)
#endif

#ifdef VARIANT_SUCCESSOR_NOT_RUN
#define MAY_CLAIM(h, k) (!(known_intent[h] & BIT(k)))
#else
#define MAY_CLAIM(h, k) true
#endif

proctype home(byte h) {
	byte k;
	do
	:: atomic { sent[h] && ISSUED(h) && alive[h] == UP && phase[h] == FRESH ->
		if
		:: phase[h] = RECORDING; printf("home %d accepts its key\n", h)
		:: printf("home %d refuses its key\n", h); close_key(h)
		fi }
	:: atomic { alive[h] == UP && phase[h] == RECORDING && !(acks[h] & 1) && REACH(ZONE(h), 0) ->
		append_intent(h, 0) }
	:: atomic { alive[h] == UP && phase[h] == RECORDING && !(acks[h] & 2) && REACH(ZONE(h), 1) ->
		append_intent(h, 1) }
	:: atomic { alive[h] == UP && phase[h] == RECORDING ->
		printf("home %d gives up before the dispatch\n", h); close_key(h) }
	:: atomic { alive[h] == UP && phase[h] == RECORDING && RECORDED(h) ->
		phase[h] = DISPATCHED; inflight[h]++; printf("home %d dispatches its key\n", h) }
	:: atomic { alive[h] == UP && phase[h] == DISPATCHED && answer[h] ->
		phase[h] = COMPLETED; printf("home %d receives the answer\n", h) }
	:: atomic { h == 0 && alive[h] == UP && phase[h] == COMPLETED && REACH(ZONE(h), 0) &&
		    fence[0] <= EPOCH(h) && !(result[0] & BIT(h)) ->
		result[0] = result[0] | BIT(h) }
	:: atomic { h == 0 && alive[h] == UP && phase[h] == COMPLETED && REACH(ZONE(h), 1) &&
		    fence[1] <= EPOCH(h) && !(result[1] & BIT(h)) ->
		result[1] = result[1] | BIT(h) }
	/* The ended record assigns the program to the next host. */
	:: atomic { h > 0 && !named[h] && ended[h - 1] && PLATFORM(h) ->
		named[h] = true; printf("host %d learns that it is the successor\n", h) }
	:: atomic { h > 0 && named[h] && alive[h] == UP && REACH(ZONE(h), 0) && fence[0] < EPOCH(h) ->
		read_copy(h, 0) }
	:: atomic { h > 0 && named[h] && alive[h] == UP && fence[1] < EPOCH(h) ->
		read_copy(h, 1) }
	/* A successor answers for an older key from the handed-over table. */
	:: atomic { h > 0 && taken[h] && alive[h] == UP && sent[h - 1] && !not_run[h - 1] &&
		    (known_closed[h] & BIT(h - 1)) ->
		say_not_run(h - 1) }
	/* A planned stop: own ended record first, then drain, then hand over. */
	:: atomic { h == 0 && alive[h] == UP && ended[h] && phase[h] != DISPATCHED && REACH(0, 1) ->
		if
		:: phase[h] != COMPLETED -> phase[h] = CLOSED; known_closed[1] = known_closed[1] | BIT(h)
		:: else -> known_result[1] = known_result[1] | BIT(h)
		fi;
		alive[h] = GONE;
		printf("home 0 stops and hands over its table\n") }
#ifdef MUTANT_NOT_RUN_ON_TIMEOUT
	:: atomic { alive[h] == UP && phase[h] == DISPATCHED ->
		printf("home %d waits no longer for the answer\n", h); say_not_run(h) }
#endif
#ifdef MUTANT_QUARANTINE_NOT_RUN
	:: atomic { alive[h] == UP && phase[h] == DISPATCHED && crashed[h] ->
		printf("home %d refuses the repeated request as quarantined\n", h); say_not_run(h) }
#endif
#ifdef MUTANT_EVICTION_FORGETS_CLOSED
	/* The copies hold intents and results, but not the closed keys. */
	:: atomic { alive[h] == UP && phase[h] == CLOSED ->
		phase[h] = FRESH; acks[h] = 0;
		printf("home %d drops the idle program and reads it back from a copy\n", h) }
#endif
#ifdef MUTANT_NO_INCARNATION_CHECK
	:: atomic { h == 0 && alive[h] == GONE ->
		alive[h] = UP; phase[h] = FRESH; acks[h] = 0;
		printf("home 0 restarts and accepts the tokens of its earlier incarnation\n") }
#endif
#ifdef MUTANT_TAKEOVER_DISPATCHES
	:: atomic { h == 1 && taken[h] && sent[0] && !redispatched && !(known_intent[h] & BIT(0)) ->
		redispatched = true; inflight[0]++;
		printf("successor dispatches the key of home 0, having read no intent\n") }
#endif
#if defined(MUTANT_SUCCESSOR_NOT_RUN) || defined(VARIANT_SUCCESSOR_NOT_RUN)
	:: atomic { h > 0 && taken[h] && alive[h] == UP ->
		if
		:: k = 0
		:: h > 1 -> k = 1
		fi;
		if
		:: sent[k] && !not_run[k] && !((known_result[h] | known_closed[h]) & BIT(k)) && MAY_CLAIM(h, k)
		   -> printf("successor %d answers for key %d\n", h, k); say_not_run(k)
		:: else
		fi;
		k = 0 }
#endif
	od
}

proctype endpoint(byte k) {
	do
	:: atomic { inflight[k] > 0 ->
		inflight[k]--; executed[k]++; ran++; answer[k] = true;
		printf("endpoint executes key %d\n", k);
#ifdef MUTANT_QUARANTINE_NOT_RUN
		crashed[k] = true;
#endif
		assert(ran <= 1);
		assert(!not_run[k]);
#ifdef WITNESS_RUN_AFTER_TAKEOVER
		assert(!(k == 0 && taken[1]));
#endif
#ifdef WITNESS_THIRD_KEY_RUN
		assert(k != 2);
#endif
	   }
	:: atomic { inflight[k] > 0 -> inflight[k]--; printf("dispatch of key %d is lost\n", k) }
	od
}

proctype caller() {
	do
	:: atomic { !sent[0] -> sent[0] = true; printf("caller sends key 0\n") }
	:: atomic { current < 2 &&
#ifndef MUTANT_RETRY_NEW_TOKEN
		    not_run[current] &&
#endif
		    sent[current] && taken[current + 1] ->
		current++; sent[current] = true;
		printf("caller resumes and sends the action under key %d\n", current) }
	od
}

proctype environment() {
	do
	:: atomic { cut = !cut; printf("cut between zones: %d\n", cut) }
	:: atomic { platform_up = !platform_up; printf("platform up: %d\n", platform_up) }
	:: atomic { alive[0] == UP -> alive[0] = PAUSED; printf("home 0 is paused\n") }
	:: atomic { alive[0] == PAUSED -> alive[0] = UP; printf("home 0 is resumed\n") }
	:: atomic { alive[0] != GONE -> alive[0] = GONE; printf("home 0 dies\n") }
	:: atomic { alive[1] != GONE -> alive[1] = GONE; printf("home 1 dies\n") }
	/* Suspicion may be wrong, so the record needs no failure of the home. */
	:: atomic { platform_up && !ended[0] -> ended[0] = true; printf("ended record of home 0\n") }
	:: atomic { platform_up && !ended[1] -> ended[1] = true; printf("ended record of home 1\n") }
#ifdef MUTANT_ENTRY_NOT_RUN
	:: atomic { sent[0] && !not_run[0] && (cut || alive[0] != UP) ->
		printf("entry host cannot reach home 0\n"); say_not_run(0) }
#endif
	od
}

init {
	atomic {
		fence[0] = 1; fence[1] = 1;
		run caller(); run environment();
		run home(0); run home(1); run home(2);
		run endpoint(0); run endpoint(1); run endpoint(2)
	}
}
