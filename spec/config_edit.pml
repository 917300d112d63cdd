/*
 * Configuration edits (design 6.7).
 *
 * Three edits, all begun on revision 0: edit 1 and edit 3 change section 0,
 * edit 2 changes section 1. Edit 1 is submitted through two hosts, since its
 * operator repeats it with the same edit id. A create-if-absent of a revision
 * may take effect late, and its answer may be lost after it took effect; the
 * host then looks for the edit id among the revisions.
 * The text of a section is the id of the edit that wrote it.
 */
#define EDITORS 4
#define LAST 4

#define READ     0
#define SEND     1
#define WAIT     2
#define ACCEPTED 3
#define CONFLICT 4
#define FAILED   5

bool platform_up = true;
byte newest;
byte edit_id[5];
byte section0[5];
byte section1[5];

byte state[EDITORS];
byte id[EDITORS];
byte base[EDITORS];
byte doc0[EDITORS];
byte doc1[EDITORS];
/* Creates on the way, one per target revision, with their documents. */
bool create[20];
byte create0[20];
byte create1[20];
#define AT(e, r) ((e) * 5 + (r))

byte found;
byte applied[4];

inline find(e) {
	found = 0;
	r = newest;
	do
	:: r > 0 ->
		if
		:: edit_id[r] == id[e] -> found = r
		:: else
		fi;
		r--
#ifdef MUTANT_SEARCH_NEWEST_ONLY
		; break
#endif
	:: else -> break
	od;
	r = 0
}

inline read_newest(e) {
	find(e);
	if
	:: found > 0 -> state[e] = ACCEPTED; printf("editor %d finds edit %d in revision %d\n", e, id[e], found)
	:: else ->
		base[e] = newest; doc0[e] = section0[newest]; doc1[e] = section1[newest];
		if
#ifndef MUTANT_NO_CONFLICT
		:: (id[e] != 2 && doc0[e] != 0) || (id[e] == 2 && doc1[e] != 0) ->
			state[e] = CONFLICT; assert(applied[id[e]] == 0); printf("editor %d gets a conflict on revision %d\n", e, newest)
		:: else ->
#else
		:: true ->
#endif
			if
			:: id[e] == 2 -> doc1[e] = 2
			:: else -> doc0[e] = id[e]
			fi;
			state[e] = SEND; printf("editor %d validates edit %d on revision %d\n", e, id[e], newest)
		fi
	fi;
	found = 0
}

inline take_effect(e, n) {
	create[AT(e, n)] = false;
	if
#ifdef MUTANT_PUT
	:: true ->
#else
	:: newest < n ->
#endif
		assert(edit_id[n] == 0);
		assert(newest == n - 1);
		assert(id[e] == 2 || section0[n - 1] == 0);
		assert(id[e] != 2 || section1[n - 1] == 0);
		assert(id[e] == 2 || create1[AT(e, n)] == section1[n - 1]);
		assert(id[e] != 2 || create0[AT(e, n)] == section0[n - 1]);
		edit_id[n] = id[e]; newest = n;
		section0[n] = create0[AT(e, n)]; section1[n] = create1[AT(e, n)];
		applied[id[e]]++;
		assert(applied[id[e]] == 1);
		assert(state[e] != FAILED && state[e] != CONFLICT);
		assert(id[e] != 1 || (state[0] != CONFLICT && state[1] != CONFLICT));
#ifdef WITNESS_SECOND_REVISION
		assert(n < 2);
#endif
		printf("revision %d is created by editor %d with edit %d\n", n, e, id[e])
	:: else -> printf("revision %d of editor %d exists already\n", n, e)
	fi;
	create0[AT(e, n)] = 0; create1[AT(e, n)] = 0
}

proctype editor(byte e) {
	byte r;
	do
	:: atomic { state[e] == READ && platform_up && newest < LAST -> read_newest(e) }
	:: atomic { state[e] == SEND && platform_up ->
		create[AT(e, base[e] + 1)] = true;
		create0[AT(e, base[e] + 1)] = doc0[e]; create1[AT(e, base[e] + 1)] = doc1[e];
		state[e] = WAIT; printf("editor %d sends the create of revision %d\n", e, base[e] + 1) }
	:: atomic { state[e] == WAIT && platform_up && !create[AT(e, base[e] + 1)] && newest > base[e] ->
		if
		:: edit_id[base[e] + 1] == id[e] -> state[e] = ACCEPTED; printf("editor %d is told that edit %d is accepted\n", e, id[e])
#ifdef MUTANT_STALE_BASE
		:: edit_id[base[e] + 1] != id[e] -> base[e]++; state[e] = SEND
#else
		:: edit_id[base[e] + 1] != id[e] -> state[e] = READ
#endif
		fi }
	/* The answer is late or lost: read back. */
	:: atomic { state[e] == WAIT ->
#if defined(MUTANT_LOST_ANSWER_IS_FAILURE)
		state[e] = FAILED; printf("editor %d reports edit %d as not applied\n", e, id[e]);
		assert(applied[id[e]] == 0)
#elif defined(MUTANT_LOST_ANSWER_IS_SUCCESS)
		state[e] = ACCEPTED; printf("editor %d reports edit %d as accepted\n", e, id[e]);
#else
		state[e] = READ; printf("editor %d has no answer and reads back\n", e)
#endif
	   }
	:: atomic { state[e] == ACCEPTED -> assert(applied[id[e]] == 1); break }
	:: atomic { create[AT(e, 1)] -> take_effect(e, 1) }
	:: atomic { create[AT(e, 2)] -> take_effect(e, 2) }
	:: atomic { create[AT(e, 3)] -> take_effect(e, 3) }
	:: atomic { create[AT(e, 4)] -> take_effect(e, 4) }
	od;
	do
	:: atomic { create[AT(e, 1)] -> take_effect(e, 1) }
	:: atomic { create[AT(e, 2)] -> take_effect(e, 2) }
	:: atomic { create[AT(e, 3)] -> take_effect(e, 3) }
	:: atomic { create[AT(e, 4)] -> take_effect(e, 4) }
	od
}

proctype environment() {
	do
	:: atomic { platform_up = !platform_up; printf("platform up: %d\n", platform_up) }
	od
}

init {
	atomic {
		id[0] = 1; id[1] = 1; id[2] = 2; id[3] = 3;
		run editor(0); run editor(1); run editor(2); run editor(3); run environment()
	}
}
