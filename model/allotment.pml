/*
 * A team's limit on requests in flight, split into allotments to two entry VMs.
 *
 * Times are stored as remaining time. An entry VM counts its session from when
 * it sent the renewal; the leader counts from receipt and adds MARGIN. A request
 * outlives a session by at most REQUEST. Renewals and grants may be delayed or
 * lost, entry VMs may crash, and the leader may change: a new one knows what entry
 * VMs report to it and, from the log, how much each of them may hold.
 *
 * Invariant: the requests in flight never exceed the limit.
 *
 * Guards, each removed by defining:
 *   NO_HOLD     the allotment of an expired session is granted again at once
 *   NO_RECORD   a grant is sent without having been recorded in the log
 *   NO_TAKEOVER a new leader does not count what is recorded
 *   NO_SHRINK   a grant counts as returned before the entry VM confirms it
 *   NO_EXPIRE   an entry VM continues to admit requests after its session
 *   NO_ORDER    an entry VM accepts an older grant after a newer one
 */
#ifndef LIMIT
#define LIMIT 2
#endif
#define SESSION 1
#define REQUEST 1
#ifndef MARGIN
#define MARGIN 1
#endif
#define HOLD (SESSION + MARGIN + REQUEST)

typedef Entry {
	byte granted;     /* allotment in force */
	byte session;     /* time left of the session by its own clock */
	byte used;        /* requests in flight */
	byte remaining;   /* longest time left of its requests */
	bit renewal;      /* a renewal is in transit */
	byte renewal_age; /* time since it was sent */
	byte reported;    /* what the renewal reports: the larger of granted and used */
	bit grant;        /* a grant is in transit */
	byte grant_age;   /* time since the answered renewal was sent */
	byte amount;      /* allotment in the grant */
	bit latest;       /* the grant answers the latest renewal */
	byte granted_by;  /* leader that sent the grant; not used */
};
Entry e[2];

byte leader;     /* 0, then 1 */
byte charged[2]; /* what the leader counts against the limit */
byte hold[2];    /* time until a charge is dropped without a renewal */
byte recorded[2]; /* what the log says that an entry VM may hold */

inline begin(x) {
	if
#ifdef NO_EXPIRE
	:: e[x].used < e[x].granted -> e[x].used++; e[x].remaining = REQUEST
#else
	:: e[x].used < e[x].granted && e[x].session > 0 -> e[x].used++; e[x].remaining = REQUEST
#endif
	:: else
	fi
}

inline finish(x) { if :: e[x].used > 0 -> e[x].used--; if :: e[x].used == 0 -> e[x].remaining = 0 :: else fi :: else fi }

inline renew(x) {
	e[x].renewal = 1; e[x].renewal_age = 0; e[x].latest = 0;
	e[x].reported = (e[x].used > e[x].granted -> e[x].used : e[x].granted)
}

inline drop_renewal(x) { e[x].renewal = 0; e[x].renewal_age = 0; e[x].reported = 0 }
inline drop_grant(x) { e[x].grant = 0; e[x].grant_age = 0; e[x].amount = 0; e[x].latest = 0 }

/* The record covers what is charged. It is lowered only sometimes. */
#ifdef NO_RECORD
#define record(x) skip
#else
#define record(x) if :: recorded[x] < charged[x] || lower -> recorded[x] = charged[x] :: else fi
#endif

/* The leader answers a renewal with an allotment of want. It charges the larger of
 * what the entry VM reports and what it grants. */
inline answer(x, want) {
	if
	:: e[x].renewal ->
		if
#ifdef NO_SHRINK
		:: true -> charged[x] = 0
#else
		:: !e[x].grant || e[x].reported > charged[x] -> charged[x] = e[x].reported
		:: else /* an earlier grant may still arrive */
#endif
		fi;
		if
		:: charged[1 - x] <= LIMIT && want <= LIMIT - charged[1 - x] -> e[x].amount = want
		:: else -> e[x].amount = 0
		fi;
		if :: e[x].amount > charged[x] -> charged[x] = e[x].amount :: else fi;
		hold[x] = HOLD;
		record(x);
		e[x].grant = 1; e[x].grant_age = e[x].renewal_age; e[x].latest = 1;
		drop_renewal(x)
	:: else
	fi
}

#ifdef NO_ORDER
#define accepts_grant(x) true
#else
#define accepts_grant(x) (e[x].latest)
#endif

inline receive_grant(x) {
	if
	:: e[x].grant && accepts_grant(x) && e[x].grant_age < SESSION -> e[x].granted = e[x].amount; e[x].session = SESSION - e[x].grant_age
	:: else
	fi;
	drop_grant(x)
}

inline crash(x) {  /* requests in flight continue at the upstream */
	e[x].granted = 0; e[x].session = 0; drop_renewal(x); drop_grant(x)
}

#ifdef NO_TAKEOVER
#define take_over(x) charged[x] = 0; hold[x] = 0
#else
#define take_over(x) charged[x] = recorded[x]; hold[x] = (recorded[x] > 0 -> HOLD : 0)
#endif

inline elect() {
	if
	:: leader == 0 ->
		leader = 1; take_over(0); take_over(1);
		drop_grant(0); drop_grant(1)
	:: else
	fi
}

#define decrement(v) if :: v > 0 -> v-- :: else fi

#ifdef NO_EXPIRE
#define granted_after_expiry(x) e[x].granted
#else
#define granted_after_expiry(x) 0
#endif

inline tick_entry(x) {
	decrement(e[x].session);
	if :: e[x].session == 0 -> e[x].granted = granted_after_expiry(x) :: else fi;
	if :: e[x].remaining > 0 -> e[x].remaining--; if :: e[x].remaining == 0 -> e[x].used = 0 :: else fi :: else fi;
	if :: e[x].renewal && e[x].renewal_age < SESSION -> e[x].renewal_age++ :: else fi;
	if :: e[x].grant && e[x].grant_age < SESSION -> e[x].grant_age++ :: else fi;
	if :: hold[x] > 0 -> hold[x]--; if :: hold[x] == 0 -> charged[x] = 0; recorded[x] = 0 :: else fi :: else fi
}
inline tick() { tick_entry(0); tick_entry(1) }

init {
	byte x, want;
	bit lower;
	do
	:: atomic {
		if :: x = 0 :: x = 1 fi;
		if :: lower = 0 :: lower = 1 fi;
		do :: want < LIMIT -> want++ :: break od;
		if
		:: want == 0 -> d_step { begin(x); skip }
		:: want == 0 -> d_step { finish(x); skip }
		:: want == 0 -> d_step { renew(x); skip }
		:: d_step { answer(x, want); skip }
		:: want == 0 -> d_step { receive_grant(x); skip }
		:: want == 0 -> d_step { drop_renewal(x); skip }
		:: want == 0 -> d_step { drop_grant(x); skip }
		:: want == 0 -> d_step { crash(x); skip }
#ifdef NO_HOLD
		:: want == 0 && e[x].session == 0 -> d_step { charged[x] = 0; skip }
#endif
		:: want == 0 && x == 0 -> d_step { elect(); skip }
		:: want == 0 && x == 0 -> d_step { tick(); skip }
		fi;
		x = 0; want = 0; lower = 0;
		assert(e[0].used + e[1].used <= LIMIT)
	}
	od
}
