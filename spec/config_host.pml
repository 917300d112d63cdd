/*
 * Configuration in force at the hosts (design 6.7).
 *
 * Host 0 is in zone 0; hosts 1 and 2, and the platform, are in zone 1. The
 * platform holds revisions up to LAST. A host learns of a revision from the
 * platform's watch or from another host's heartbeat; both may arrive late, so
 * an old revision may arrive after a newer one. A host stores nothing: after a
 * restart it takes the newest revision it can reach.
 *
 * DESIGN_AS_WRITTEN: a restarted host serves with the newest revision that any
 * reachable host or the platform has.
 * Otherwise it serves only after one answer of the platform.
 */
#define HOSTS 3
#define LAST 3
#define ZONE(h) ((h) != 0)
#define REACH(a, b) ((a) == (b) || !cut)
#define PLATFORM(h) (platform_up && REACH(ZONE(h), 1))
#define NOTHING 15

bool cut;
bool platform_up = true;
byte newest;
bool serving[HOSTS];
byte current[HOSTS];
byte inbox[HOSTS];
/* The highest revision that was ever in force at the host. */
byte high[HOSTS];

inline check(h) {
	if
	:: serving[h] ->
		assert(current[h] >= high[h]);
		high[h] = current[h]
	:: else
	fi
}

inline apply(h, n) {
	if
#ifdef MUTANT_APPLY_ANY
	:: n != NOTHING ->
#else
	:: n != NOTHING && n > current[h] ->
#endif
		current[h] = n; printf("host %d applies revision %d\n", h, n)
	:: else
	fi;
	check(h)
}

inline hear(h, g) {
	inbox[h] = current[g]; printf("host %d sends a heartbeat with revision %d to host %d\n", g, current[g], h)
}

proctype host(byte h) {
	byte best;
	do
	:: atomic { serving[h] && inbox[h] == NOTHING && PLATFORM(h) ->
		inbox[h] = newest; printf("platform sends revision %d to host %d\n", newest, h) }
	:: atomic { serving[h] && inbox[h] == NOTHING && h != 0 && serving[0] && REACH(0, 1) -> hear(h, 0) }
	:: atomic { serving[h] && inbox[h] == NOTHING && h != 1 && serving[1] && REACH(ZONE(h), 1) -> hear(h, 1) }
	:: atomic { serving[h] && inbox[h] == NOTHING && h != 2 && serving[2] && REACH(ZONE(h), 1) -> hear(h, 2) }
	:: atomic { serving[h] && inbox[h] != NOTHING -> apply(h, inbox[h]); inbox[h] = NOTHING }
	/* The operator's host applies the accepted edit at once, also before the late message. */
	:: atomic { serving[h] && PLATFORM(h) && newest > current[h] -> apply(h, newest) }
	:: atomic { serving[h] ->
		serving[h] = false; current[h] = 0; inbox[h] = NOTHING; printf("host %d restarts\n", h) }
	:: atomic { !serving[h] ->
		if
		:: PLATFORM(h) -> best = newest; serving[h] = true
		:: else ->
#ifdef DESIGN_AS_WRITTEN
			if
			:: h != 0 && serving[0] && REACH(0, 1) && current[0] > best -> best = current[0]
			:: else
			fi;
			if
			:: h != 1 && serving[1] && REACH(ZONE(h), 1) && current[1] > best -> best = current[1]
			:: else
			fi;
			if
			:: h != 2 && serving[2] && REACH(ZONE(h), 1) && current[2] > best -> best = current[2]
			:: else
			fi;
			if
			:: (h != 0 && serving[0] && REACH(0, 1)) ||
			   (h != 1 && serving[1] && REACH(ZONE(h), 1)) ||
			   (h != 2 && serving[2] && REACH(ZONE(h), 1)) -> serving[h] = true
			:: else
			fi
#else
			skip
#endif
		fi;
		if
		:: serving[h] -> current[h] = best; printf("host %d starts with revision %d\n", h, best)
		:: else
		fi;
		best = 0;
		check(h) }
	od
}

proctype environment() {
	do
	:: atomic { cut = !cut; printf("cut between zones: %d\n", cut) }
	:: atomic { platform_up = !platform_up; printf("platform up: %d\n", platform_up) }
	:: atomic { platform_up && newest < LAST -> newest++;
		printf("revision %d is accepted\n", newest)
#ifdef WITNESS_IN_FORCE_BEHIND_CUT
		; assert(!(cut && high[0] == 2 && newest == 3))
#endif
	   }
	od
}

init {
	atomic {
		inbox[0] = NOTHING; inbox[1] = NOTHING; inbox[2] = NOTHING;
		serving[0] = true; serving[1] = true; serving[2] = true;
		run host(0); run host(1); run host(2); run environment()
	}
}
