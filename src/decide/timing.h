#ifndef BAMBOOTALLY_TIMING_H
#define BAMBOOTALLY_TIMING_H

#include <glib.h>

/* The times that ownership and retries rely on, in microseconds.  */

#define LEASE_USEC ((gint64)1500000)     /* a lease lasts this long */
#define LEASE_DRIFT_USEC ((gint64)30000) /* 2 % for clocks' rates */
#define RENEWAL_INTERVAL_USEC                                                 \
  ((gint64)400000) /* renewals are sent so often                              \
                    */
#define UNRESPONSIVE_AFTER_USEC                                               \
  ((gint64)1250000)                           /* a holder is then suspected */
#define COLLECT_STAGGER_USEC ((gint64)200000) /* between collectors */
#define CALL_TIMEOUT_USEC ((gint64)600000)    /* a call between nodes */
#define SETTLE_USEC ((gint64)500000)          /* joins are let come in */
#define RETRY_AFTER_USEC ((gint64)50000)      /* wait before routing again */
#define PROCESS_PAUSE_USEC ((gint64)500000)   /* the process was stopped */
#define TICK_INTERVAL_USEC ((gint64)50000)    /* the core is woken so often */
#define PLAN_PASS_TIMEOUT_USEC                                                \
  ((gint64)30000000)                          /* a pass is then given up      \
                                               */
#define PLAN_UNCHANGED_USEC ((gint64)5000000) /* if the view is the same */
#define PLAN_STAGGER_USEC ((gint64)2000000)   /* between planners */
#define BALANCE_COOLDOWN_USEC                                                 \
  ((gint64)30000000) /* between moves for balance */

#endif
