/*
 * Turns at the clients of the advice service.
 *
 * Steps ask the service through processes, its clients, which send one query at a
 * time. Step 0 asks until it is answered. The others, which cannot be placed, ask
 * again whenever their tickets have expired. Client 1 is cut off from the service: all
 * queries through it fail. Client 0 loses LOSSES queries.
 *
 * Waiting steps stand in one line. The first one gets the next client that is free,
 * but for the one through which its latest query failed. A step whose query failed
 * stands in line again.
 *
 * Progress: step 0 is answered, under weak fairness of the processes.
 *
 * Guards of progress, each removed by defining:
 *   NO_LINE      late work, which step 0 is, asks only if no other step waits and a client is idle
 *   NO_ORDER     any step that waits may be next
 *   SAME_CLIENT  a step asks through the client again through which its latest query failed
 */
#ifndef STEPS
#define STEPS 3
#endif
#define CLIENTS 2
#ifndef LOSSES
#define LOSSES 1
#endif
#define NONE 255

chan line = [STEPS] of { byte };
byte at[CLIENTS] = NONE;   /* step whose query the client has sent */
byte failed[STEPS] = NONE; /* client through which the latest query of a step failed */
byte losses;
bit answered;

#ifdef SAME_CLIENT
#define may_use(s, c) (at[c] == NONE)
#else
#define may_use(s, c) (at[c] == NONE && failed[s] != c)
#endif

/* The planner sends the queries of steps that wait. */
proctype planner() {
	byte s, n;
	end: do
	:: atomic {
		nempty(line) && (at[0] == NONE || at[1] == NONE) ->
#ifdef NO_ORDER
		n = len(line);
		do
		:: n > 1 -> line ? s; line ! s; n--
		:: break
		od;
		n = 0;
#endif
		line ? <s>;
#ifdef NO_LINE
		if
		:: s == 0 && (len(line) > 1 || at[0] != NONE && at[1] != NONE) -> line ? s; line ! s; line ? <s>
		:: else
		fi;
#endif
		if
		:: may_use(s, 0) -> line ?? eval(s); at[0] = s
		:: may_use(s, 1) -> line ?? eval(s); at[1] = s
		:: else
		fi;
		s = 0
	}
	od
}

inline done(s, c) {
	at[c] = NONE; failed[s] = NONE;
	if :: s == 0 -> answered = 1 :: else fi
}

inline lost(s, c) { at[c] = NONE; failed[s] = c; line ! s }

/* A client has the answer, or none. */
proctype client(byte c) {
	byte s;
	end: do
	:: atomic {
		at[c] != NONE ->
		s = at[c];
		if
		:: c == 0 -> done(s, c)
		:: c == 0 && losses < LOSSES -> losses++; lost(s, c)
		:: c == 1 -> lost(s, c)
		fi;
		s = 0
	}
	od
}

/* The tickets of a step that cannot be placed expire. */
proctype expiry(byte s) {
	end: do
	:: atomic { !(line ?? [eval(s)]) && at[0] != s && at[1] != s -> line ! s }
	od
}

init {
	byte s;
	atomic {
		do
		:: s + 1 < STEPS -> run expiry(s + 1); s++
		:: else -> break
		od;
		s = 0;
		do
		:: s < CLIENTS -> run client(s); s++
		:: else -> break
		od;
		line ! 0;
		run planner()
	}
}

#ifdef PROGRESS
ltl progress { <> (answered == 1) }
#endif
