#ifndef SOAK_PIPELINE_H
#define SOAK_PIPELINE_H

#include "edge/conn.h"
#include "edge/http_framing.h"
#include "soak/soak_checker.h"
#include "types/limits.h"

/* A simulated caller that sends several requests at once on a connection of
   its own, before the responses to the first ones.  */

#define SOAK_PIPELINE_MAX 12u /* requests that are sent at once */

/* One of the requests.  */
struct soak_pipeline_request
{
  char request_id[REQUEST_ID_SIZE]; /* request id */
  gboolean at_most_once; /* the request may run at most once, and has a body */
  guint32 shard_key;     /* key of the request, unused if at_most_once */
};

struct soak_pipeline
{
  struct soak_checker *checker; /* records the ends of the requests */
  struct conn *conn;            /* connection to the node */
  struct soak_pipeline_request requests[SOAK_PIPELINE_MAX]; /* in order */
  guint count;                 /* number of requests */
  guint answered;              /* responses received to their end */
  guint end_timer;             /* source id of the timer that closes it */
  gboolean leaves;             /* it is closed before all can be answered */
  gboolean closes;             /* a response said that the connection ends
                                  behind it */
  gboolean has_head;           /* the head of the next response is read */
  guint answer_status;         /* its status */
  gboolean has_stamp;          /* it has the stamp of a server */
  struct http_framing framing; /* framing of its body */
  GByteArray *answer_body;     /* its body as far as received */
};

void soak_pipeline_send (struct soak_checker *checker, struct address to,
                         const struct soak_pipeline_request *requests,
                         guint count, guint leave_msec);

#endif
