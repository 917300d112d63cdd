/*
 * Token chain (design 6.1, 6.2, 6.5, 7).
 *
 * One program of two turns, its home 0 and successor 1, two copies. Two
 * requests with different ids compete for every token; each may be repeated
 * through another host at any time, so a request can reach either home at any
 * time. A call may be dispatched twice, so its answer may arrive twice and late.
 * An answer's text is 1 + request id + 2 * home; the digest of a history is the
 * sequence of its texts. A token is (issuing home, turn, digest).
 *
 * DESIGN_AS_WRITTEN: a successor runs calls under tokens of an older epoch, and
 * a copy accepts an append by its turn alone.
 * Otherwise a successor runs calls only under a token that it issued itself, a
 * recorded answer is returned only to the token it was run under, and an append
 * carries the digest of the history it extends.
 * VARIANT_SINGLE_DISPATCH: no second dispatch, for a smaller search.
 */
#define TURNS 2
#define TEXT(h, i) (1 + (i) + 2 * (h))
#define NOTEXT 0
#define REACH(a, b) ((a) == (b) || !cut)

bool cut;
bool stopped;
byte fence[2];
bool serving[2];
bool resumed;

/* History of a home: texts, request ids and issuers of the tokens used. */
byte turns[2];
byte text[4];
bool by[4];
bool issuer[4];
#define AT(h, t) ((h) * 2 + (t))

/* Log of a copy: texts, and the digest that the second turn extends. */
byte copy_len[2];
byte copy_text[4];
bool copy_by[4];
bool copy_issuer[4];
byte copy_base[2];

bool running[2];
bool run_by[2];
bool run_issuer[2];
byte attempts[4];
byte late[4];

/* Tokens of turn 1 that callers hold, per issuer and digest. */
bool token0[5];
bool token1[5];

/* First answer to each token: text by issuer and, at turn 1, digest. */
byte first0[2];
byte first1[10];

#ifdef DESIGN_AS_WRITTEN
#define RUNS_OLDER true
#define SAME_TOKEN(h, t, g) true
#else
#define RUNS_OLDER false
#ifdef MUTANT_DEDUP_BY_ID_ONLY
#define SAME_TOKEN(h, t, g) true
#else
#define SAME_TOKEN(h, t, g) (issuer[AT(h, t)] == g)
#endif
#endif

inline digest(h, t, out) {
	if
	:: t == 0 -> out = 0
	:: t == 1 -> out = text[AT(h, 0)]
	fi
}

inline deliver(h, g, t, d, i) {
	printf("home %d answers request %d on token (home %d, turn %d, digest %d) with text %d\n",
		h, i, g, t, d, text[AT(h, t)]);
	assert(by[AT(h, t)] == i);
	if
	:: t == 0 ->
		assert(first0[g] == NOTEXT || first0[g] == text[AT(h, t)]);
		first0[g] = text[AT(h, t)];
		if
		:: h == 0 -> token0[text[AT(h, t)]] = true
		:: else -> token1[text[AT(h, t)]] = true
		fi
	:: else ->
		assert(first1[5 * g + d] == NOTEXT || first1[5 * g + d] == text[AT(h, t)]);
		first1[5 * g + d] = text[AT(h, t)]
#ifdef WITNESS_SECOND_TURN_AT_SUCCESSOR
		; assert(h == 0)
#endif
	fi
}

/* Request i on the token (g, t, d) arrives at home h. */
inline request(h, g, t, d, i) {
	if
	:: t > turns[h] ->
		printf("home %d lacks turn %d of the token: unavailable\n", h, t);
#ifdef WITNESS_HISTORY_BEHIND
		assert(false)
#endif
	:: t <= turns[h] ->
		digest(h, t, have);
		if
#ifndef MUTANT_NO_DIGEST_CHECK
		:: have != d -> printf("home %d detects a fork\n", h)
		:: have == d && t < turns[h] ->
#else
		:: t < turns[h] ->
			assert(have == d);
#endif
			if
#ifdef MUTANT_ANY_ID_GETS_ANSWER
			:: true -> deliver(h, g, t, d, i)
#else
			:: by[AT(h, t)] == i && SAME_TOKEN(h, t, g) -> deliver(h, g, t, d, i)
			:: else -> printf("home %d answers stale_token to request %d\n", h, i)
#endif
			fi
#ifndef MUTANT_NO_DIGEST_CHECK
		:: have == d && t == turns[h] ->
#else
		:: t == turns[h] ->
			assert(have == d);
#endif
			if
			:: g != h && !RUNS_OLDER -> printf("home %d asks for resume\n", h)
			:: (g == h || RUNS_OLDER) && !running[h] && t < TURNS ->
				running[h] = true; run_by[h] = i; run_issuer[h] = g;
				attempts[AT(h, t)] = 1; late[AT(h, t)] = 1;
				printf("home %d runs request %d on token (home %d, turn %d, digest %d)\n", h, i, g, t, d)
			:: else
			fi
		fi;
		have = 0
	fi
}

/* The answer of an attempt of turn t arrives at home h. */
inline arrive(h, t) {
	late[AT(h, t)]--;
	if
#ifdef MUTANT_LATE_ANSWER_ACCEPTED
	:: running[h] ->
		assert(turns[h] == t);
#else
	:: running[h] && turns[h] == t ->
#endif
		text[AT(h, turns[h])] = TEXT(h, run_by[h]);
		by[AT(h, turns[h])] = run_by[h];
		issuer[AT(h, turns[h])] = run_issuer[h];
		running[h] = false;
		turns[h]++;
		printf("home %d records the answer of turn %d\n", h, t);
		digest(h, t, have);
		deliver(h, run_issuer[h], t, have, run_by[h]);
		have = 0
	:: else -> printf("home %d drops a late answer of turn %d\n", h, t)
	fi
}

inline store(h, c, t) {
	copy_text[AT(c, t)] = text[AT(h, t)];
	copy_by[AT(c, t)] = by[AT(h, t)];
	copy_issuer[AT(c, t)] = issuer[AT(h, t)];
	copy_len[c] = t + 1;
	if
	:: t == 1 -> copy_base[c] = text[AT(h, 0)]
	:: else -> copy_base[c] = 0
	fi;
	printf("copy %d stores turn %d of home %d\n", c, t, h)
}

/* Home h of epoch h+1 sends turn t to copy c. */
inline append(h, c, t) {
	if
	:: fence[c] > h + 1 -> printf("copy %d refuses home %d\n", c, h)
	:: fence[c] <= h + 1 ->
		fence[c] = h + 1;
		if
#if defined(DESIGN_AS_WRITTEN) || defined(MUTANT_APPEND_BY_TURN)
		:: t == copy_len[c] -> store(h, c, t)
		:: t != copy_len[c]
#else
		:: t == 0 && (copy_len[c] == 0 || copy_text[AT(c, 0)] != text[AT(h, 0)]) -> store(h, c, t)
		:: t == 1 && copy_len[c] > 0 && copy_text[AT(c, 0)] == text[AT(h, 0)] -> store(h, c, t)
		:: else
#endif
		fi
	fi;
	assert(copy_len[c] < 2 || copy_base[c] == copy_text[AT(c, 0)])
}

inline read_copy(c) {
	if
	:: copy_len[c] > turns[1] || !serving[1] ->
		turns[1] = copy_len[c];
		text[AT(1, 0)] = copy_text[AT(c, 0)]; text[AT(1, 1)] = copy_text[AT(c, 1)];
		by[AT(1, 0)] = copy_by[AT(c, 0)]; by[AT(1, 1)] = copy_by[AT(c, 1)];
		issuer[AT(1, 0)] = copy_issuer[AT(c, 0)]; issuer[AT(1, 1)] = copy_issuer[AT(c, 1)]
	:: else
	fi;
	fence[c] = 2;
	serving[1] = true;
	printf("host 1 reads %d turns at copy %d\n", copy_len[c], c)
}

proctype home(bool h) {
	byte d;
	byte have;
	bool i;
	bool g;
	do
	:: atomic { serving[h] && !(h == 0 && stopped) && turns[h] <= TURNS ->
		if
		:: i = 0
		:: i = 1
		fi;
		if
		:: g = 0
		:: g = 1
		fi;
		if
		:: g == 0 || resumed -> request(h, g, 0, 0, i)
		:: d = 1;
		   do
		   :: d < 4 -> d++
		   :: break
		   od;
		   if
		   :: (g == 0 && token0[d]) || (g == 1 && token1[d]) -> request(h, g, 1, d, i)
		   :: else
		   fi
		fi;
		d = 0; i = 0; g = 0; have = 0 }
#ifndef VARIANT_SINGLE_DISPATCH
	/* A second dispatch of the running call. */
	:: atomic { running[h] && attempts[AT(h, turns[h])] == 1 ->
		attempts[AT(h, turns[h])] = 2; late[AT(h, turns[h])]++; printf("home %d dispatches turn %d again\n", h, turns[h]) }
#endif
	:: atomic { serving[h] && !(h == 0 && stopped) && late[AT(h, 0)] > 0 -> arrive(h, 0) }
	:: atomic { serving[h] && !(h == 0 && stopped) && late[AT(h, 1)] > 0 -> arrive(h, 1) }
	:: atomic { !(h == 0 && stopped) && serving[h] && turns[h] > 0 && REACH(h, 0) -> append(h, 0, 0) }
	:: atomic { !(h == 0 && stopped) && serving[h] && turns[h] > 0 && REACH(h, 1) -> append(h, 1, 0) }
	:: atomic { !(h == 0 && stopped) && serving[h] && turns[h] > 1 && REACH(h, 0) -> append(h, 0, 1) }
	:: atomic { !(h == 0 && stopped) && serving[h] && turns[h] > 1 && REACH(h, 1) -> append(h, 1, 1) }
	/* The ended record may exist at any time: suspicion may be wrong. */
	:: atomic { h == 1 && !running[1] && !resumed && fence[0] < 2 && REACH(1, 0) -> read_copy(0) }
	:: atomic { h == 1 && !running[1] && !resumed && fence[1] < 2 -> read_copy(1) }
	:: atomic { h == 1 && serving[1] && !resumed ->
		resumed = true;
		if
		:: turns[1] == 1 -> token1[text[AT(1, 0)]] = true
		:: else
		fi;
		printf("host 1 issues a token for turn %d\n", turns[1]) }
	od
}

proctype environment() {
	do
	:: atomic { cut = !cut; printf("cut between zones: %d\n", cut) }
	:: atomic { stopped = !stopped; printf("home 0 paused: %d\n", stopped) }
	od
}

init {
	atomic {
		fence[0] = 1; fence[1] = 1; serving[0] = true;
		run home(0); run home(1); run environment()
	}
}
