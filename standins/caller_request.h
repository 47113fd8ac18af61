#ifndef STANDIN_CALLER_REQUEST_H
#define STANDIN_CALLER_REQUEST_H

#include "standins/caller.h"
#include "types/request.h"

/* One request of a caller, from its first sending to its last answer.  */

/* All requests of a run.  */
struct caller
{
  const struct caller_settings *settings; /* what to do */
  struct caller_totals *totals;           /* what came of it */
  struct http http_client;                /* the client */
  GMainLoop *loop;                        /* runs until all have ended */
  GRand *random;                          /* draws the keys */
  guint32 started_count;                  /* requests begun */
  guint32 active_count;                   /* requests under way */
  guint64 run_id;                         /* number of this run, for ids */
};

/* One request.  */
struct caller_request
{
  struct caller *caller;       /* its run */
  struct handle call;          /* the HTTP call */
  char id[REQUEST_ID_SIZE];    /* its id */
  gint64 started_at;           /* when it was sent */
  gint64 upload_left;          /* bytes of the upload to write */
  guint32 serial;              /* its number, which fills the upload */
  guint answer_status;         /* of the answer */
  enum outcome answer_outcome; /* of the answer */
  gboolean has_answer_outcome; /* the answer names one */
  enum reason answer_reason;   /* of the answer */
  char *path;                  /* path and query */
  char *stamp;                 /* stamp that it is sent under, or NULL */
  char *offered_stamp;         /* stamp that the answer offers, or NULL */
  guint32 send_count;          /* times it was sent */
  GString *answer_body;        /* of the answer */
  GChecksum *upload_digest;    /* of what was sent */
};

void caller_request_new (struct caller *caller, char *path);
void caller_send_next (struct caller *caller);

#endif
