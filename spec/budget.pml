/*
 * Budget (design 6.5) and the fence of the copies (design 6.4).
 *
 * A program with a budget of BUDGET units has a first home 0, a successor 1 and
 * the successor's successor 2. A home grants itself one unit at a time and may
 * spend it once every copy of its set has recorded it. Zone 0 holds host 0 and
 * copy 0; zone 1 holds hosts 1 and 2, copy 1 and the platform. Copy 1 may be
 * excluded by a platform record after its host was lost; it may answer again
 * later with its old content.
 *
 * Rules that design 6.4, 6.5 and section 8 leave open:
 *  - FENCE: an append is accepted from the holder of the highest epoch only;
 *    equal epochs of different hosts are refused (MUTANT_FENCE_BY_NUMBER:
 *    only lower epochs are refused).
 *  - EPOCH: the epoch counts the ended records from the first home on
 *    (MUTANT_EPOCH_FROM_COPY: one more than the epoch found at the copy).
 *  - EXCLUDE: a home drops a copy from its set only after it saw the platform
 *    record of the exclusion and then found no ended record of its own; a
 *    successor reads the exclusions after it found the record that names it,
 *    then looks for an ended record of its own, and reads no excluded copy.
 *
 * VARIANT_HANDOVER_BY_RECORD: a stopping home hands over what it may still spend
 * to the host that its ended record names.
 */
#ifndef BUDGET
#define BUDGET 1
#endif
#define HOSTS 3
#define ZONE(h) ((h) != 0)
#define REACH(a, b) ((a) == (b) || !cut)
#define PLATFORM(h) (platform_up && REACH(ZONE(h), 1))

bool cut;
bool platform_up = true;
bool frozen;
bool ended[2];
bool excluded;

byte epoch[HOSTS];
bool looked[HOSTS];
bool named[HOSTS];
bool serving[HOSTS];
bool granting[HOSTS];
bool started[HOSTS];
bool fenced[HOSTS];
bool seen_excluded[HOSTS];
byte set[HOSTS];
byte read[HOSTS];
byte acks[HOSTS];
byte total[HOSTS];
byte usable[HOSTS];

byte fence[2];
byte holder[2];
byte recorded[2];

byte spent;

#ifdef MUTANT_FENCE_BY_NUMBER
#define ACCEPTS(c, h) (epoch[h] >= fence[c])
#define READABLE(c, h) (epoch[h] >= fence[c])
#else
#define ACCEPTS(c, h) (epoch[h] > fence[c] || (epoch[h] == fence[c] && holder[c] == (h)))
#define READABLE(c, h) (epoch[h] > fence[c] || (epoch[h] == fence[c] && holder[c] == (h)))
#endif

#if defined(MUTANT_GRANT_ONE_COPY)
#define GRANTED(h) (acks[h] != 0)
#elif defined(MUTANT_WRITE_REMAINING)
#define GRANTED(h) ((acks[h] & set[h]) == set[h] || (cut && acks[h] != 0))
#else
#define GRANTED(h) ((acks[h] & set[h]) == set[h])
#endif

inline append_grant(h, c) {
	if
	:: ACCEPTS(c, h) ->
		fence[c] = epoch[h]; holder[c] = h;
		recorded[c] = total[h] + 1;
		if
		:: acks[h] = acks[h] | (1 << c);
		   printf("home %d records a grant up to %d at copy %d\n", h, total[h] + 1, c)
		:: printf("home %d records a grant up to %d at copy %d, the answer is lost\n", h, total[h] + 1, c)
		fi
	:: else ->
		fenced[h] = true; granting[h] = false; acks[h] = 0;
		printf("copy %d refuses home %d of epoch %d (fence %d)\n", c, h, epoch[h], fence[c])
	fi
}

inline read_copy(h, c) {
	read[h] = read[h] | (1 << c);
#ifdef MUTANT_EPOCH_FROM_COPY
	if
	:: fence[c] >= epoch[h] -> epoch[h] = fence[c] + 1
	:: else
	fi;
#else
	epoch[h] = h + 1;
#endif
	if
	:: READABLE(c, h) ->
#ifndef MUTANT_NO_FENCE
		fence[c] = epoch[h]; holder[c] = h;
#endif
#ifdef MUTANT_SUCCESSOR_COUNTS_SPENT
		total[h] = spent;
#else
		if
		:: recorded[c] > total[h] -> total[h] = recorded[c]
		:: else
		fi;
#endif
		serving[h] = true;
		printf("host %d reads %d granted at copy %d as epoch %d\n", h, total[h], c, epoch[h])
	:: else ->
		printf("copy %d refuses to be read by host %d\n", c, h)
	fi
}

#ifdef MUTANT_EXCLUDE_NO_OWN_CHECK
#define REDUCE_CHECK(h) true
#else
#define REDUCE_CHECK(h) ((h) == 2 || !ended[h])
#endif
#ifdef MUTANT_TAKEOVER_NO_OWN_CHECK
#define OWN_RECORD_ABSENT(h) true
#else
#define OWN_RECORD_ABSENT(h) ((h) == 2 || !ended[h])
#endif

#define RUNS(h) (serving[h] && !((h) == 0 && frozen))

proctype home(byte h) {
	do
	:: atomic { RUNS(h) && !granting[h] && !fenced[h] && total[h] < BUDGET ->
		granting[h] = true; started[h] = true; acks[h] = 0 }
	:: atomic { RUNS(h) && granting[h] && (set[h] & 1) && !(acks[h] & 1) && REACH(ZONE(h), 0) ->
		append_grant(h, 0) }
	:: atomic { RUNS(h) && granting[h] && (set[h] & 2) && !(acks[h] & 2) && REACH(ZONE(h), 1) ->
		append_grant(h, 1) }
	:: atomic { RUNS(h) && granting[h] && GRANTED(h) ->
		granting[h] = false; acks[h] = 0; total[h]++; usable[h]++;
		printf("home %d may spend one unit more\n", h) }
	:: atomic { RUNS(h) && usable[h] > 0 ->
		usable[h]--; spent++; printf("home %d spends one unit\n", h);
		assert(spent <= BUDGET);
#ifdef WITNESS_SUCCESSOR_SPENDS
		assert(!(h == 2 && spent == BUDGET));
#endif
#ifdef WITNESS_REDUCED_SET_SPENDS
		assert(!(h == 0 && set[0] == 1));
#endif
	   }
	:: atomic { RUNS(h) && set[h] == 3 && !seen_excluded[h] && excluded && PLATFORM(h) ->
		seen_excluded[h] = true; printf("home %d sees that copy 1 is excluded\n", h) }
	:: atomic { RUNS(h) && seen_excluded[h] && set[h] == 3 &&
		    REDUCE_CHECK(h) && PLATFORM(h) ->
		set[h] = 1; printf("home %d writes to copy 0 only\n", h) }
	:: atomic { h > 0 && !named[h] && !looked[h] && !serving[h] && ended[h - 1] && PLATFORM(h) ->
		looked[h] = true;
#ifndef MUTANT_READ_EXCLUDED
		if
		:: excluded -> set[h] = 1
		:: else
		fi;
#endif
		printf("host %d finds the record of host %d, copy set %d\n", h, h - 1, set[h]) }
	:: atomic { looked[h] && !named[h] && OWN_RECORD_ABSENT(h) && PLATFORM(h) ->
		named[h] = true; printf("host %d starts its takeover\n", h) }
	:: atomic { h > 0 && named[h] && !started[h] && (set[h] & 1) && !(read[h] & 1) &&
		    REACH(ZONE(h), 0) ->
		read_copy(h, 0) }
	:: atomic { h > 0 && named[h] && !started[h] && (set[h] & 2) && !(read[h] & 2) ->
		read_copy(h, 1) }
#ifdef VARIANT_HANDOVER_BY_RECORD
	:: atomic { h == 0 && RUNS(0) && !granting[0] && named[1] && !granting[1] && REACH(0, 1) ->
		serving[0] = false; serving[1] = true; epoch[1] = 2;
		if
		:: total[0] > total[1] -> total[1] = total[0]
		:: else
		fi;
		usable[1] = usable[1] + usable[0]; usable[0] = 0;
		printf("home 0 hands over to host 1, its recorded successor\n") }
#endif
#ifdef MUTANT_HANDOVER_WITHOUT_RECORD
	:: atomic { h == 0 && RUNS(0) && !granting[0] && !named[2] && !serving[2] && REACH(0, 1) ->
		serving[0] = false; serving[2] = true; epoch[2] = 2; total[2] = total[0];
		usable[2] = usable[0]; usable[0] = 0;
		printf("home 0 hands over to host 2 without an ended record\n") }
#endif
	od
}

proctype environment() {
	do
	:: atomic { cut = !cut; printf("cut between zones: %d\n", cut) }
	:: atomic { platform_up = !platform_up; printf("platform up: %d\n", platform_up) }
	:: atomic { frozen = !frozen; printf("home 0 frozen: %d\n", frozen) }
	:: atomic { platform_up && !ended[0] -> ended[0] = true; printf("ended record of home 0\n") }
	:: atomic { platform_up && !ended[1] && ended[0] -> ended[1] = true; printf("ended record of home 1\n") }
	:: atomic { platform_up && !excluded -> excluded = true; printf("copy 1 is excluded by record\n") }
	od
}

init {
	atomic {
		epoch[0] = 1; serving[0] = true;
		set[0] = 3; set[1] = 3; set[2] = 3;
		fence[0] = 1; fence[1] = 1;
		run home(0); run home(1); run home(2); run environment()
	}
}
