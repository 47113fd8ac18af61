#ifndef BAMBOOTALLY_LOG_CLIENT_H
#define BAMBOOTALLY_LOG_CLIENT_H

#include "edge/http.h"
#include "types/event.h"

/* Client of the platform's log service over HTTP (docs/PLATFORM.md): reads the
   log by repeated long polls and appends records.  */

typedef void log_client_fn (const struct event *event, gpointer data);

struct log_client
{
  struct http *http;       /* HTTP client */
  struct address address;  /* address of the log service */
  char stream[NAME_SIZE];  /* name of the stream */
  log_client_fn *fn;       /* called for EVENT_RECORDS, EVENT_LOG_FAILED
                              and EVENT_APPENDED */
  gpointer data;           /* argument of fn */
  guint64 next_offset;     /* offset of the next record to read */
  struct handle read_call; /* pending HTTP call of the read, if any */
  GByteArray *read_body;   /* response body of the read so far */
  guint read_status;       /* HTTP status of the read */
  guint64 first_retained;  /* first offset that the log retained at the
                              last response */
  guint64 end_offset;      /* offset after the log's last record at the
                              last response */
  gint64 read_started_at;  /* start of the last read, monotonic usec */
  gint64 up_to_date_at;    /* start of the last read that reached the end
                              of the log, monotonic usec */
  gboolean is_stopped;     /* no reads are made */
  gint64 retry_at; /* no read starts before this time, monotonic usec */
  GHashTable *pending_appends; /* set of struct log_append: not answered yet */
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
