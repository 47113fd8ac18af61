#ifndef STANDIN_LOG_SERVER_H
#define STANDIN_LOG_SERVER_H

#include "standins/log_store.h"
#include "types/address.h"

#include <libsoup/soup.h>

/* A stand-in for the platform's log service, as docs/PLATFORM.md describes it,
   with switches that make it fail.  */

struct log_server
{
  SoupServer *http_server;  /* HTTP server for reads, appends and control */
  struct log_store store;   /* records of the log */
  GPtrArray *waiting_reads; /* struct log_waiting_read */
  gint64 outage_until;      /* calls get 503 until then, monotonic usec */
  guint answer_delay_msec;  /* delay of the answer to an append, ms */
  guint answers_to_drop;    /* next appends that are stored unanswered */
  guint64 append_count;     /* appends stored */
  guint64 read_count;       /* reads answered */
};

enum err log_server_init (struct log_server *log,
                          struct address listen_address);
void log_server_clear (struct log_server *log);

#endif
