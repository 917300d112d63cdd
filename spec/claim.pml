/*
 * Service calls with an Idempotency-Key and no token (design 6.3).
 *
 * A caller sends one request with one key through two entry hosts, in any
 * order and any number of times. A host dispatches only after the platform's
 * create-if-absent of the claim named its incarnation the owner. The create may
 * take effect late, and its answer may be lost. After not_run the caller gives
 * the action up or sends it under another key, so the first key must never run.
 *
 * DESIGN_AS_WRITTEN: a host without the platform refuses with not_run.
 * Otherwise it answers unavailable, and only the claim's owner says not_run.
 */
#define NONE 2

#define FRESH      0
#define CLAIMING   1
#define OWNER      2
#define DISPATCHED 3
#define CLOSED     4
#define OTHER      5

bool platform_up = true;
byte claim = NONE;
byte claim_start;
byte start[2];
byte phase[2];
bool create[2];
byte create_start[2];
byte dispatches;
byte ran;
bool not_run;
byte restarts;

inline say_not_run(h) {
	printf("host %d returns not_run\n", h);
	not_run = true;
	assert(ran == 0)
}

#ifdef MUTANT_CLAIM_BY_HOST_NAME
#define OWNED(h) (claim == (h))
#else
#define OWNED(h) (claim == (h) && claim_start == start[h])
#endif

proctype host(byte h) {
	do
	:: atomic { phase[h] == FRESH ->
		if
		:: platform_up ->
			phase[h] = CLAIMING; create[h] = true; create_start[h] = start[h];
			printf("host %d sends its claim\n", h)
		:: !platform_up ->
#ifdef DESIGN_AS_WRITTEN
			phase[h] = CLOSED;
			say_not_run(h)
#else
			printf("host %d answers unavailable\n", h)
#endif
		fi }
	/* The answer arrives, or the host reads the claim back. */
	:: atomic { phase[h] == CLAIMING && platform_up && claim != NONE ->
		if
		:: OWNED(h) -> phase[h] = OWNER; printf("host %d owns the claim\n", h)
		:: else -> phase[h] = OTHER; printf("host %d finds another owner: outcome_unknown\n", h)
		fi }
#ifdef MUTANT_NO_READ_BACK
	:: atomic { phase[h] == CLAIMING && !create[h] ->
		phase[h] = OWNER; printf("host %d takes the lost answer for success\n", h) }
#endif
	:: atomic { phase[h] == CLAIMING && !platform_up ->
#ifdef DESIGN_AS_WRITTEN
		phase[h] = CLOSED;
		say_not_run(h)
#else
		phase[h] = FRESH;
		printf("host %d answers unavailable\n", h)
#endif
	   }
	:: atomic { phase[h] == OWNER ->
		phase[h] = DISPATCHED; dispatches++; printf("host %d dispatches\n", h) }
	:: atomic { phase[h] == OWNER -> phase[h] = CLOSED; say_not_run(h) }
	:: atomic { restarts < 1 ->
		restarts++; start[h]++; phase[h] = FRESH; printf("host %d restarts\n", h) }
	od
}

proctype platform() {
	do
	:: atomic { platform_up = !platform_up; printf("platform up: %d\n", platform_up) }
	:: atomic { platform_up && create[0] -> create[0] = false;
		if
		:: claim == NONE -> claim = 0; claim_start = create_start[0]; printf("claim of host 0 takes effect\n")
		:: else
		fi }
	:: atomic { platform_up && create[1] -> create[1] = false;
		if
		:: claim == NONE -> claim = 1; claim_start = create_start[1]; printf("claim of host 1 takes effect\n")
		:: else
		fi }
	od
}

proctype endpoint() {
	do
	:: atomic { dispatches > 0 ->
		dispatches--; ran++; printf("endpoint executes the request\n");
		assert(ran <= 1);
		assert(!not_run);
#ifdef WITNESS_RUN
		assert(false)
#endif
	   }
	:: atomic { dispatches > 0 -> dispatches-- }
	od
}

init {
	atomic { run host(0); run host(1); run platform(); run endpoint() }
}
