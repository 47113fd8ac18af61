#ifndef BAMBOOTALLY_REPLY_H
#define BAMBOOTALLY_REPLY_H

#include "types/action.h"

struct core;

/* Ends requests without an answer of a backend server, and logs events of
   requests.  */

/* Result that ends a request.  */
struct reply_result
{
  enum outcome outcome; /* how the request ended */
  enum reason reason;   /* why the request ended so */
  /* stamp for the caller to send under, unset if none is offered */
  struct stamp stamp;
  /* milliseconds after which to try again, 0 for no advice */
  guint32 retry_msec;
};

struct log_event *reply_log (struct actions *out, enum log_event_id id,
                             const struct request *request);
void reply_end_request (struct core *core, struct handle exchange,
                        const struct reply_result *result,
                        struct actions *out);
void reply_not_run (struct core *core, struct handle exchange,
                    enum reason reason, struct actions *out);

#endif
