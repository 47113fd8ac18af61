#ifndef BAMBOOTALLY_LOG_CLIENT_H
#define BAMBOOTALLY_LOG_CLIENT_H

#include "edge/http.h"
#include "types/event.h"

/* The platform's log service over HTTP (docs/PLATFORM.md): a long poll that
   reads on and on, and appends.  */

typedef void log_client_fn (const struct event *event, gpointer data);

struct log_client
{
  struct http *http;       /* the HTTP client */
  struct address address;  /* the service */
  char stream[NAME_SIZE];  /* the stream */
  log_client_fn *fn;       /* told EVENT_RECORDS, _LOG_FAILED, _APPENDED */
  gpointer data;           /* given to fn */
  guint64 next_offset;     /* offset to read next */
  struct handle read_call; /* the read under way */
  GByteArray *read_body;   /* what it has answered so far */
  guint read_status;       /* its status */
  guint64 first_retained;  /* first offset retained, when told */
  guint64 end_offset;      /* offset after the last record, when told */
  gint64 read_started_at;  /* when it began, monotonic microseconds */
  gint64 up_to_date_at;    /* begin of the last read that came to the tail */
  gboolean is_stopped;     /* nothing is read */
  gint64 retry_at;         /* after a failure, when to read again */
  GHashTable *pending_appends; /* struct log_append, by itself */
};

void log_client_init (struct log_client *client, struct http *http,
                      struct address address, const char *stream,
                      log_client_fn *fn, gpointer data);
void log_client_clear (struct log_client *client);
void log_client_step (struct log_client *client, gint64 now);
void log_client_append (struct log_client *client, const struct record *record,
                        gint64 now);
void log_client_stop (struct log_client *client);
void log_client_seek (struct log_client *client, guint64 next);

#endif
