#ifndef STANDIN_LOG_SERVER_H
#define STANDIN_LOG_SERVER_H

#include "standins/log_store.h"
#include "types/address.h"

#include <libsoup/soup.h>

/* The platform's log service, as docs/PLATFORM.md describes it, with switches
   for its faults.  */

struct log_server
{
  SoupServer *http_server; /* the HTTP server */
  struct log_store store;  /* the records */
  GPtrArray *
      waiting_reads; /* struct log_waiting_read: reads that wait for records */
  gint64 outage_until;     /* answers 503 until then, monotonic usec */
  guint answer_delay_msec; /* every answer is late by this */
  guint answers_to_drop;   /* appends to take effect without an answer */
  guint64 append_count;    /* appends taken */
  guint64 read_count;      /* reads answered */
};

enum err log_server_init (struct log_server *log, struct address at);
void log_server_clear (struct log_server *log);

#endif
