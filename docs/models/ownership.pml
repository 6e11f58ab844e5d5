/* Ownership of one group and the leases of its workers, with one task that is to run.
 *
 * Each step is named as in the code: claim is group_ownership::proposeOwner and gainAuthority, query and
 * answer
 * are worker_leases::query and on(worker_reply), order is on(start_requested), obey is
 * worker_order_handler::execute(start_order), graceOver is group_ownership::storeGraceExpired, lapse is
 * worker_order_handler::expire, settleByTime is worker_leases::checkLeaseExpiry.
 *
 * Time is not counted: an order in flight may become stale, a lease may lapse and a former owner's
 * grace may end at any moment, and the guards say only what must have happened before. Messages
 * wait in flight for as long as they like, are lost or overtake one another. An instance that takes
 * no step is paused. Left out: restarts of workers, successors by rank, and clocks themselves;
 * the fault matrix covers those.
 *
 * -DNO_EPOCH_CHECK, -DNO_GRACE, -DNO_STALE_CHECK and -DNO_CERTAINTY each take one guard out; the
 * search then has to find the error. Without -DPLACE_BEFORE_ANSWER's guard the model still holds: a
 * worker settled by time has no rival in it. What needs that guard are workers that restart. */

#ifndef INSTANCES
#define INSTANCES 2
#endif
#define WORKERS 2
#ifndef GENERATIONS
#define GENERATIONS 3
#endif
#define ORDERS 2
#define NOWHERE 9

byte row;                              /* generation in the table */
byte generation[INSTANCES];            /* under which the instance acts; 0 for none */
byte place[INSTANCES];                 /* where it believes the task to be */
byte answered[INSTANCES];              /* bit per worker: answered under this generation */
byte settled[INSTANCES];               /* bit per worker: cannot run the task unknown to us */

byte highest[WORKERS];
bool running[WORKERS];

/* Start orders in flight: 0 free, 1 fresh, 2 stale. */
byte orderState[ORDERS];
byte orderWorker[ORDERS];
byte orderGeneration[ORDERS];

#define BIT(w) (1 << (w))
#define ALL ((1 << WORKERS) - 1)
#define inFlight(s, w) (orderState[s] == 1 && orderWorker[s] == w)

#ifdef NO_EPOCH_CHECK
#define REFUSED(generation, w) false
#else
#define REFUSED(generation, w) (generation < highest[w])
#endif
#ifdef NO_STALE_CHECK
#define STALE(s) false
#else
#define STALE(s) (orderState[s] == 2)
#endif
#ifdef NO_GRACE
#define FORMER_ACTS(j, i) false
#else
#define FORMER_ACTS(j, i) (j != i && generation[j] != 0 && generation[j] < generation[i])
#endif
#ifdef NO_CERTAINTY
#define CERTAIN(i) true
#else
#define CERTAIN(i) (settled[i] == ALL)
#endif
#ifdef PLACE_BEFORE_ANSWER
#define READY(i, w) true
#else
#define READY(i, w) ((answered[i] & BIT(w)) != 0)
#endif

/* Scratch of the atomic steps, no part of the state. */
hidden byte w;
hidden byte s;
hidden byte j;
hidden byte clear;

inline forget(i)
{
    place[i] = NOWHERE;
    answered[i] = 0;
    settled[i] = 0;
}

inline checkOnePlace()
{
    assert(running[0] + running[1] <= 1);
}

proctype instance(byte i)
{
end:
    do
    /* claim: a compare-and-set of the row; others learn nothing of it. */
    :: atomic { generation[i] == 0 && row < GENERATIONS ->
        row = row + 1;
        generation[i] = row;
        forget(i);
       }

    /* readRow, graceOver: the table tells of a later owner, or has told nothing for the grace. */
    :: atomic { generation[i] != 0 && generation[i] < row ->
        generation[i] = 0;
        forget(i);
       }

    /* query and answer */
    :: atomic { generation[i] != 0 ->
        select (w : 0 .. (WORKERS - 1));
        if
        :: REFUSED(generation[i], w) ->
            generation[i] = 0;
            forget(i);
        :: else ->
            highest[w] = (generation[i] > highest[w] -> generation[i] : highest[w]);
            answered[i] = answered[i] | BIT(w);
            settled[i] = settled[i] | BIT(w);
            if
            :: running[w] -> place[i] = w;
            :: !running[w] && place[i] == w ->
                /* A start that the worker does not know of counts until it is stale. */
                clear = true;
                s = 0;
                do
                :: s < ORDERS ->
                    if
                    :: inFlight(s, w) && orderGeneration[s] == generation[i] -> clear = false;
                    :: else -> skip;
                    fi;
                    s = s + 1;
                :: else -> break;
                od;
                if
                :: clear -> place[i] = NOWHERE;
                :: else -> skip;
                fi;
            :: else -> skip;
            fi;
        fi;
       }

    /* settleByTime: every lease that a former owner may have given has lapsed, the former owners
     * have stopped, and nobody above us had acted. */
    :: atomic { generation[i] != 0 && row == generation[i] ->
        select (w : 0 .. (WORKERS - 1));
        clear = !running[w];
        j = 0;
        do
        :: j < INSTANCES ->
            if
            :: FORMER_ACTS(j, i) -> clear = false;
            :: else -> skip;
            fi;
            j = j + 1;
        :: else -> break;
        od;
        s = 0;
        do
        :: s < ORDERS ->
            if
            :: inFlight(s, w) -> clear = false;
            :: else -> skip;
            fi;
            s = s + 1;
        :: else -> break;
        od;
        if
        :: clear && place[i] != w -> settled[i] = settled[i] | BIT(w);
        :: else -> skip;
        fi;
       }

    /* order: start the task somewhere. */
    :: atomic { generation[i] != 0 && place[i] == NOWHERE && CERTAIN(i) ->
        select (w : 0 .. (WORKERS - 1));
        s = 0;
        do
        :: s < ORDERS && orderState[s] != 0 -> s = s + 1;
        :: else -> break;
        od;
        if
        :: s < ORDERS && READY(i, w) ->
            orderState[s] = 1;
            orderWorker[s] = w;
            orderGeneration[s] = generation[i];
            place[i] = w;
        :: else -> skip;
        fi;
       }
    od
}

proctype wire()
{
end:
    do
    /* obey: the order arrives. */
    :: atomic { select (s : 0 .. (ORDERS - 1));
        if
        :: STALE(s) -> orderState[s] = 0;
        :: orderState[s] != 0 && !STALE(s) ->
            w = orderWorker[s];
            orderState[s] = 0;
            if
            :: REFUSED(orderGeneration[s], w) -> skip;
            :: else ->
                highest[w] = (orderGeneration[s] > highest[w] -> orderGeneration[s] : highest[w]);
                running[w] = true;
                checkOnePlace();
            fi;
        :: else -> skip;
        fi;
       }

    /* The order is lost, or its latest start passes. */
    :: atomic { select (s : 0 .. (ORDERS - 1));
        if
        :: orderState[s] == 1 -> orderState[s] = 2;
        :: orderState[s] != 0 -> orderState[s] = 0;
        :: else -> skip;
        fi;
       }

    /* lapse: the lease ends, or the task ends by itself. */
    :: atomic { select (w : 0 .. (WORKERS - 1)); running[w] = false; }
    od
}

init
{
    atomic {
        for (j : 0 .. (INSTANCES - 1)) {
            place[j] = NOWHERE;
            run instance(j);
        }
        run wire();
    }
}
