/*
 * The founding of a group by a majority of three replicas, of which the first two draw a
 * group each.
 *
 * Each replica has noted on its disk that the system starts for the first time. A founder
 * collects reports of replicas that have stored no entry, and draws a group of those that
 * reported once there are NEEDED. A replica without an entry adopts any group that it is a
 * member of, and may leave it for another one; reports and pre-votes may be old when they
 * are used. A member leads whenever it may, whatever the votes, and stores an entry of its
 * own; others store that and answer. A replica that has stored an entry belongs to its
 * group.
 *
 * It leaves it in two cases. One that has led gives up if it has heard no answer and has not
 * restarted since. Any one does so if so many members have said that they belong to
 * another group that its own has no quorum without them.
 *
 * Replicas restart at any time, which costs what they had in memory. LOSSES of them lose
 * their disk, or are lost for good: a replica with an empty disk that is not at its first
 * start takes no part.
 *
 * Invariant: at most one group commits an entry: a leader counts the answers of a quorum of
 * its members to its present leadership.
 *
 * Guards, each removed by defining:
 *   NO_BOUND     a replica that has stored an entry may adopt another group
 *   NO_MAJORITY  one founder is enough
 *   NO_NOTE      a replica with an empty disk founds, whether it is its first start or not
 *   NO_ANSWER    a replica gives its group up although it has stored another one's entry
 *   NO_QUORUM    it does so once any member belongs to another group
 */
#define N 3
#define GROUPS 2
#ifndef LOSSES
#define LOSSES 1
#endif
#if defined(NO_MAJORITY)
#define NEEDED 1
#else
#define NEEDED 2
#endif

#define bit_of(r) (1 << (r))
#define count(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define quorum(g) (count(members[g]) / 2 + 1)

byte members[GROUPS + 1]; /* by group, which founder g - 1 draws; zero before */
byte group[N];            /* of each replica; zero if it has none */
bit bound[N];             /* it has stored an entry of its group */
bit leading[N];
byte answers[N];          /* of members that have stored its entry, while it leads */
bit own[N];               /* it has led, and its entry is the only one, as it knows; in memory */
bit gone[N];              /* its first disk is lost */
byte reports[N];          /* of replicas without an entry; in memory */
byte elsewhere[N];        /* replicas that have said that they belong to another group; in memory */
byte losses;
byte committed;           /* group; zero if there is none */

#ifdef NO_NOTE
bit again[GROUPS + 1];    /* the group was drawn after a disk was lost, and has the new one */
#define founds(r) 1
#define acts(r, g) (((members[g] >> (r)) & 1) && (!gone[r] || again[g]))
#else
#define founds(r) (!gone[r])
#define acts(r, g) (((members[g] >> (r)) & 1) && !gone[r])
#endif

#if defined(NO_ANSWER)
#define may_forget(r) 1
#elif defined(NO_QUORUM)
#define may_forget(r) (own[r] || elsewhere[r])
#else
#define may_forget(r) (own[r] || count(members[group[r]] & ~elsewhere[r]) < quorum(group[r]))
#endif

inline forget(r) { own[r] = 0; elsewhere[r] = 0 }

inline resign(r) { leading[r] = 0; answers[r] = 0 }

/* What s reports to founder r. */
inline report(r, s) {
	if
	:: s != r && founds(s) && !bound[s] -> reports[r] = reports[r] | bit_of(s)
	:: else
	fi
}

inline adopt(r, g) {
	group[r] = g; bound[r] = 0;
	forget(r);
	resign(r)
}

/* r stores the entry of s, which leads. */
inline store(r, s) {
	if
	:: s != r && leading[s] && acts(s, group[s]) && acts(r, group[s]) && (!bound[r] || group[r] == group[s]) ->
		if :: group[r] != group[s] -> adopt(r, group[s]) :: else fi;
		bound[r] = 1;
		forget(r);
		resign(r);
		answers[s] = answers[s] | bit_of(r)
	:: else
	fi
}

/* s says to r that it belongs to another group. */
inline say(r, s) {
	if
	:: s != r && bound[s] && group[s] != group[r] -> elsewhere[r] = elsewhere[r] | bit_of(s)
	:: else
	fi
}

proctype replica(byte r) {
	end: do
	:: atomic {
		r < GROUPS && founds(r) && !bound[r] && members[r + 1] == 0 ->
		if :: true -> report(r, 0) :: true -> report(r, 1) :: true -> report(r, 2) fi
	}
	:: atomic {
		r < GROUPS && founds(r) && !bound[r] && members[r + 1] == 0 && count(reports[r]) + 1 >= NEEDED ->
		members[r + 1] = reports[r] | bit_of(r);
#ifdef NO_NOTE
		again[r + 1] = losses > 0;
#endif
		reports[r] = 0;
		adopt(r, r + 1)
	}
#ifdef NO_BOUND
	:: atomic { acts(r, 1) && group[r] != 1 -> adopt(r, 1) }
	:: atomic { acts(r, 2) && group[r] != 2 -> adopt(r, 2) }
#else
	:: atomic { !bound[r] && acts(r, 1) && group[r] != 1 -> adopt(r, 1) }
	:: atomic { !bound[r] && acts(r, 2) && group[r] != 2 -> adopt(r, 2) }
#endif
	:: atomic { /* it leads */
		group[r] && !leading[r] && acts(r, group[r]) ->
		leading[r] = 1; answers[r] = bit_of(r);
		own[r] = !bound[r]; elsewhere[r] = 0;
		bound[r] = 1
	}
	:: atomic {
		leading[r] && count(answers[r]) >= quorum(group[r]) ->
		assert(committed == 0 || committed == group[r]);
		committed = group[r];
		forget(r);
		resign(r)
	}
	:: atomic {
		if :: true -> store(r, 0) :: true -> store(r, 1) :: true -> store(r, 2) fi
	}
	:: atomic {
		bound[r] ->
		if :: true -> say(r, 0) :: true -> say(r, 1) :: true -> say(r, 2) fi
	}
	:: atomic {
		bound[r] && may_forget(r) ->
		adopt(r, 0)
	}
	:: atomic { /* it restarts */
		(reports[r] || own[r] || elsewhere[r] || leading[r]) ->
		reports[r] = 0;
		forget(r);
		resign(r)
	}
	:: atomic { /* its disk is lost */
		losses < LOSSES && !gone[r] ->
		losses++;
		gone[r] = 1;
		reports[0] = reports[0] & ~bit_of(r); reports[1] = reports[1] & ~bit_of(r);
		reports[r] = 0;
		adopt(r, 0)
	}
	od
}

init {
	atomic { run replica(0); run replica(1); run replica(2) }
}
