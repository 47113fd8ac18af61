#ifndef BAMBOOTALLY_REPLY_H
#define BAMBOOTALLY_REPLY_H

#include "types/action.h"

struct core;

/* Notes about requests, and the end of one without an answer of a server.  */

/* How a request ends.  */
struct reply_result
{
  enum outcome outcome; /* how it ended */
  enum reason reason;   /* why */
  struct stamp stamp;   /* stamp to send under, if one is offered */
  guint32 retry_msec;   /* when to try again, 0 for no advice */
};

struct log_event *reply_log (struct actions *out, enum log_event_id id,
                             const struct request *request);
void reply_end_request (struct core *core, struct handle exchange,
                        const struct reply_result *end, struct actions *out);
void reply_not_run (struct core *core, struct handle exchange,
                    enum reason reason, struct actions *out);

#endif
