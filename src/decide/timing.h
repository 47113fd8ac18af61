#ifndef BAMBOOTALLY_TIMING_H
#define BAMBOOTALLY_TIMING_H

#include <glib.h>

/* Timing of ownership, planning and retries, in microseconds.  */

/* Length of a lease.  */
#define LEASE_USEC ((gint64)1500000)
/* Allowance for different clock rates of nodes: 2 % of a lease.  */
#define LEASE_DRIFT_USEC ((gint64)30000)
/* Interval of lease renewals.  */
#define RENEWAL_INTERVAL_USEC ((gint64)400000)
/* A lease holder that has not renewed for so long is unresponsive.  */
#define UNRESPONSIVE_AFTER_USEC ((gint64)1250000)
/* Delay between the nodes that begin to collect promises.  */
#define COLLECT_STAGGER_USEC ((gint64)200000)
/* Timeout of a call between nodes.  */
#define CALL_TIMEOUT_USEC ((gint64)600000)
/* The planner waits so long after a join for further joins.  */
#define JOIN_SETTLE_USEC ((gint64)500000)
/* Base of the delay before a request is routed again.  */
#define RETRY_DELAY_USEC ((gint64)50000)
/* A gap between two events that shows that the process was paused.  */
#define PROCESS_PAUSE_USEC ((gint64)500000)
/* Interval of EVENT_TICK.  */
#define TICK_INTERVAL_USEC ((gint64)50000)
/* A planning pass that takes longer is given up.  */
#define PLAN_PASS_TIMEOUT_USEC ((gint64)30000000)
/* Delay before planning again while the view is unchanged.  */
#define PLAN_UNCHANGED_USEC ((gint64)5000000)
/* Delay between the nodes that begin to plan.  */
#define PLAN_STAGGER_USEC ((gint64)2000000)
/* Time between two moves of a slice that balance load.  */
#define BALANCE_COOLDOWN_USEC ((gint64)30000000)

#endif
