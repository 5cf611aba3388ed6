/*
 * The limit of a team on requests in flight, split into allotments of two
 * entry VMs.
 *
 * Times are kept as what is left of them. An entry VM counts its session from
 * when it sent the renewal; the leader counts from receipt and adds MARGIN. A
 * request outlives a session by at most REQUEST. Renewals and grants are
 * delayed and lost, entry VMs die, and leaders change: a new one knows only
 * what entry VMs report to it.
 *
 * Checked: the requests in flight never exceed the limit.
 *
 * Guards, each removed by defining:
 *   NO_HOLD     what an expired session held is granted anew at once
 *   NO_SETTLE   a new leader grants without waiting for reports
 *   NO_SHRINK   a grant counts as given back before the entry VM confirms it
 *   NO_EXPIRE   an entry VM goes on admitting past its session
 *   NO_ORDER    an entry VM takes an older grant after a newer one
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
	byte granted;       /* allotment in force */
	byte session;       /* left of the session by its own clock */
	byte used;          /* requests in flight */
	byte left;          /* longest time left to a request of it */
	bit renewal;        /* on its way */
	byte renewal_age;
	byte reports;       /* what it reports to hold: the larger of granted and used */
	bit grant;          /* on its way */
	byte grant_age;     /* since the renewal that it answers was sent */
	byte amount;
	bit newest;         /* the grant answers the latest renewal */
	byte born;          /* leader that the grant is of */
};
Entry e[2];

byte leads;             /* 0, then 1 */
byte charged[2];        /* what the leader counts against the limit */
byte hold[2];           /* time until a charge falls away without word */
byte settle;            /* time until a new leader grants */

inline begin(x) {
	if
#ifdef NO_EXPIRE
	:: e[x].used < e[x].granted -> e[x].used++; e[x].left = REQUEST
#else
	:: e[x].used < e[x].granted && e[x].session > 0 -> e[x].used++; e[x].left = REQUEST
#endif
	:: else
	fi
}

inline finish(x) { if :: e[x].used > 0 -> e[x].used--; if :: e[x].used == 0 -> e[x].left = 0 :: else fi :: else fi }

inline renew(x) {
	e[x].renewal = 1; e[x].renewal_age = 0; e[x].newest = 0;
	e[x].reports = (e[x].used > e[x].granted -> e[x].used : e[x].granted)
}

inline drop_renewal(x) { e[x].renewal = 0; e[x].renewal_age = 0; e[x].reports = 0 }
inline drop_grant(x) { e[x].grant = 0; e[x].grant_age = 0; e[x].amount = 0; e[x].newest = 0 }

#ifdef NO_SETTLE
#define may_grant true
#else
#define may_grant (settle == 0)
#endif

/* The leader answers a renewal with an allotment of want. It charges the
 * larger of what the entry VM reports and what it grants. */
inline answer(x, want) {
	if
	:: e[x].renewal ->
		if
#ifdef NO_SHRINK
		:: true -> charged[x] = 0
#else
		:: !e[x].grant || e[x].reports > charged[x] -> charged[x] = e[x].reports
		:: else /* a former grant may still arrive */
#endif
		fi;
		if
		:: may_grant && charged[1 - x] <= LIMIT && want <= LIMIT - charged[1 - x] -> e[x].amount = want
		:: else -> e[x].amount = (settle > 0 -> e[x].reports : 0)
		fi;
		if :: e[x].amount > charged[x] -> charged[x] = e[x].amount :: else fi;
		hold[x] = HOLD;
		e[x].grant = 1; e[x].grant_age = e[x].renewal_age; e[x].newest = 1;
		drop_renewal(x)
	:: else
	fi
}

#ifdef NO_ORDER
#define takes(x) true
#else
#define takes(x) (e[x].newest)
#endif

inline take(x) {
	if
	:: e[x].grant && takes(x) && e[x].grant_age < SESSION -> e[x].granted = e[x].amount; e[x].session = SESSION - e[x].grant_age
	:: else
	fi;
	drop_grant(x)
}

inline die(x) {         /* requests in flight go on at the upstream */
	e[x].granted = 0; e[x].session = 0; drop_renewal(x); drop_grant(x)
}

inline elect() {
	if
	:: leads == 0 ->
		leads = 1; charged[0] = 0; charged[1] = 0; hold[0] = 0; hold[1] = 0; settle = HOLD;
		drop_grant(0); drop_grant(1)
	:: else
	fi
}

#define less(v) if :: v > 0 -> v-- :: else fi

#ifdef NO_EXPIRE
#define keeps(x) e[x].granted
#else
#define keeps(x) 0
#endif

inline tick_entry(x) {
	less(e[x].session);
	if :: e[x].session == 0 -> e[x].granted = keeps(x) :: else fi;
	if :: e[x].left > 0 -> e[x].left--; if :: e[x].left == 0 -> e[x].used = 0 :: else fi :: else fi;
	if :: e[x].renewal && e[x].renewal_age < SESSION -> e[x].renewal_age++ :: else fi;
	if :: e[x].grant && e[x].grant_age < SESSION -> e[x].grant_age++ :: else fi;
	if :: hold[x] > 0 -> hold[x]--; if :: hold[x] == 0 -> charged[x] = 0 :: else fi :: else fi
}
inline tick() { tick_entry(0); tick_entry(1); less(settle) }

init {
	byte x, want;
	do
	:: atomic {
		if :: x = 0 :: x = 1 fi;
		do :: want < LIMIT -> want++ :: break od;
		if
		:: want == 0 -> d_step { begin(x); skip }
		:: want == 0 -> d_step { finish(x); skip }
		:: want == 0 -> d_step { renew(x); skip }
		:: d_step { answer(x, want); skip }
		:: want == 0 -> d_step { take(x); skip }
		:: want == 0 -> d_step { drop_renewal(x); skip }
		:: want == 0 -> d_step { drop_grant(x); skip }
		:: want == 0 -> d_step { die(x); skip }
#ifdef NO_HOLD
		:: want == 0 && e[x].session == 0 -> d_step { charged[x] = 0; skip }
#endif
		:: want == 0 && x == 0 -> d_step { elect(); skip }
		:: want == 0 && x == 0 -> d_step { tick(); skip }
		fi;
		x = 0; want = 0;
		assert(e[0].used + e[1].used <= LIMIT)
	}
	od
}
