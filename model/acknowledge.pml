/*
 * Acknowledgements and starts that reach the next incarnation of a worker.
 *
 * A leader sends a worker STARTS starts and as many listings that acknowledge ends of the
 * incarnation that it knows. Each order may be carried out at any later time, by the
 * incarnation that is up then, and its answer may be lost. Ends are numbered anew in each
 * incarnation, so that a listing for another one has it forget all that have ended there.
 * A started run ends at once. The worker starts again up to LIVES - 1 times, under the same
 * name, and the leader learns of that at any later time by a listing, which states the ends as
 * well. Answers to starts are taken to be proved by the listing that follows.
 *
 * Invariant: no incarnation forgets an end that the leader has not processed.
 *
 * With TWINS, each start may have a second copy, which the leader knows of. With TICKETS, a start has a ticket, which only
 * the incarnation takes that is up when the start is sent, whichever one the leader knows.
 *
 * Guards, each removed by defining:
 *   NO_RAISE   the token rises with a start while an acknowledgement has no answer
 *   NO_HOLD    nothing is acknowledged while a start has no answer
 *   NO_ONCE    a listing that shows a start settles it only if it has no second copy (TWINS)
 *   NO_PROOF   a ticket settles a start only once a listing that was sent later is answered (TICKETS)
 */
#ifndef STARTS
#define STARTS 2
#endif
#ifndef LIVES
#define LIVES 3
#endif

#define IDLE 0   /* not sent */
#define SENT 1   /* may be carried out */
#define RAN 2    /* carried out without an answer that the leader knows of */
#define OVER 3   /* answered, or can no longer be carried out */

byte life = 1, known = 1;
byte seen;          /* highest token that the incarnation has received */
byte token = 1;     /* of the leader's next order */
byte start[STARTS], start_token[STARTS];
byte list[STARTS], list_token[STARTS], list_life[STARTS];
bit ended[STARTS];  /* the incarnation lists the end of the start */
bit noted[STARTS];  /* the leader has processed it */
byte twin[STARTS];  /* the second copy of the start */
byte ticket[STARTS]; /* incarnation that takes the start */
bit proved[STARTS]; /* no other incarnation than the one that was listed takes it */
byte i, k;

#define unanswered(x) (x == SENT || x == RAN)
#ifdef TICKETS
#define takes(k) (ticket[k] == life)
#ifdef NO_PROOF
#define open_start(k) false
#else
#define open_start(k) (unanswered(start[k]) && !proved[k])
#endif
#else
#define takes(k) true
#ifdef NO_ONCE
bit shown[STARTS];
#define open_start(k) (unanswered(start[k]) || unanswered(twin[k]) && !shown[k])
#else
#define open_start(k) (unanswered(start[k]) || unanswered(twin[k]))
#endif
#endif

/* Carries out a listing that acknowledges. */
inline forget(n) {
	if
	:: list_token[n] >= seen ->
		seen = list_token[n];
		k = 0;
		do
		:: k < STARTS ->
			if
			:: ended[k] && list_life[n] != life -> assert(noted[k]); ended[k] = 0
			:: else
			fi;
			k++
		:: else -> break
		od;
		k = 0
	:: else
	fi
}

/* A listing shows a start of which the leader takes no further copy for on its way. */
inline settle(n) {
#ifdef NO_ONCE
	shown[n] = 1
#else
	skip
#endif
}

/* A start is carried out, which does nothing where its run has ended. */
inline execute(n) {
	if :: !ended[n] -> ended[n] = 1; noted[n] = 0 :: else fi
}

inline sum_open() {
	k = 0; open = 0;
	do
	:: k < STARTS ->
		if :: open_start(k) -> open++ :: else fi;
		if :: unanswered(list[k]) -> acks++ :: else fi;
		k++
	:: else -> break
	od;
	k = 0
}

active proctype cell() {
	byte open, acks;
	end: do
	/* the leader sends a start */
	:: atomic {
		i < STARTS && start[i] == IDLE ->
		acks = 0; sum_open();
#ifndef NO_RAISE
		if :: acks > 0 -> token++ :: else fi;
#endif
		start[i] = SENT; start_token[i] = token; ticket[i] = life;
#ifdef TWINS
		if :: twin[i] = SENT :: skip fi;
#endif
		open = 0; acks = 0
	}
	/* the leader sends a listing with an acknowledgement */
	:: atomic {
		i < STARTS && list[i] == IDLE ->
		acks = 0; sum_open();
		if
#ifdef NO_HOLD
		:: true ->
#else
		:: open == 0 ->
#endif
			list[i] = SENT; list_token[i] = token; list_life[i] = known
		:: else
		fi;
		open = 0; acks = 0
	}
	/* the next pair of orders */
	:: i + 1 < STARTS && start[i] != IDLE -> i++
	:: i > 0 -> i--
	/* a start is carried out, now or late; its answer arrives, or not */
	:: atomic {
		start[0] == SENT ->
		if
		:: start_token[0] >= seen && takes(0) -> seen = start_token[0]; execute(0); start[0] = RAN
		:: else -> start[0] = OVER
		fi
	}
	:: atomic {
		start[1] == SENT ->
		if
		:: start_token[1] >= seen && takes(1) -> seen = start_token[1]; execute(1); start[1] = RAN
		:: else -> start[1] = OVER
		fi
	}
#ifdef TWINS
	/* a second copy is carried out, or can no longer be */
	:: atomic { twin[0] == SENT -> if :: start_token[0] >= seen -> seen = start_token[0]; execute(0); twin[0] = RAN :: else -> twin[0] = OVER fi }
	:: unanswered(twin[0]) && !ended[0] -> twin[0] = OVER
	:: atomic { twin[1] == SENT -> if :: start_token[1] >= seen -> seen = start_token[1]; execute(1); twin[1] = RAN :: else -> twin[1] = OVER fi }
	:: unanswered(twin[1]) && !ended[1] -> twin[1] = OVER
#endif
	/* a listing is carried out; its answer arrives, or not */
	:: atomic { list[0] == SENT -> forget(0); if :: list[0] = OVER :: list[0] = RAN fi }
	:: atomic { list[1] == SENT -> forget(1); if :: list[1] = OVER :: list[1] = RAN fi }
	/* an order without an answer can no longer be carried out */
	:: unanswered(start[0]) && !ended[0] -> start[0] = OVER
	:: unanswered(start[1]) && !ended[1] -> start[1] = OVER
	:: unanswered(list[0]) -> list[0] = OVER
	:: unanswered(list[1]) -> list[1] = OVER
	/* the worker starts again; the ends that it had are gone with it */
	:: atomic { life < LIVES -> life++; seen = 0; ended[0] = 0; ended[1] = 0 }
	/* the leader lists the incarnation that is up, without an acknowledgement */
	:: atomic {
		true ->
		if
		:: known != life -> token++
		:: else
		fi;
		known = life;
		seen = (token > seen -> token : seen);
		k = 0;
		do
		:: k < STARTS ->
			if :: ended[k] -> noted[k] = 1; if :: start[k] == RAN -> start[k] = OVER; settle(k) :: else fi :: else fi;
			if :: start[k] != IDLE -> proved[k] = 1 :: else fi;
			k++
		:: else -> break
		od;
		k = 0
	}
	od
}
