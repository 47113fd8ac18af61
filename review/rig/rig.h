#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

/* Stand-ins for the review's scripts: the platform's store, backends, clients,
   and the start and end of node processes.  Each connection has a thread of
   its own.  All addresses are on loopback.  */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define HEARTBEAT_MS 870
#define DRAIN_MS 2000
#define CONTACT_MS 3000
#define TEXT_MAX 65536

/* Set up: the folder of the case, which gets record.txt, comes from argv[1].
   `rig_trouble' is false with TROUBLE=0.  */
extern bool rig_trouble;
void rig_init (int argc, char **argv);
void rig_end (int status) __attribute__ ((noreturn));
void rig_fail (const char *why) __attribute__ ((noreturn));
int64_t rig_ms (void);
void rig_sleep_until (int64_t ms);
void rig_sleep (int64_t ms);
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
int rig_free_port (void);
void rig_thread (void *(*run) (void *), void *data);

/* HTTP/1.1 on a blocking socket.  */
struct http_in
{
  int fd;
  char *bytes;
  size_t length;
  size_t size;
};
struct http_head
{
  char line[TEXT_MAX]; /* first line and headers, each ended by a newline */
  char method[16];
  char target[2048];
  int status;
  long body_length; /* -1: chunked, -2: until the end of the connection */
};
void http_in_init (struct http_in *in, int fd);
void http_in_clear (struct http_in *in);
bool http_read_head (struct http_in *in, struct http_head *head);
bool http_read_body (struct http_in *in, const struct http_head *head,
                     char **body, size_t *length);
bool http_header (const struct http_head *head, const char *name, char *value,
                  size_t size);
bool http_send (int fd, const void *bytes, size_t length);
int rig_connect (int port, int timeout_ms);
int rig_listen (int port);

/* The platform's store: a log with keyed topics.  */
enum store_mode
{
  STORE_SERVES,
  STORE_BUSY, /* answers 503: nothing was done */
};
struct store_append_info
{
  const char *key;   /* key of the record */
  const char *value; /* value of the record */
  size_t length;     /* bytes of the value */
  long at;           /* condition, -1: none */
};
void store_start (int port);
void store_set_mode (enum store_mode mode);
void store_put (const char *topic, const char *key, const char *value);
/* May return after how many milliseconds an append is carried out, with no
   answer to the caller; 0: at once, with an answer.  */
extern int (*store_late_ms) (const struct store_append_info *info);

/* A node process.  */
struct node
{
  char name[32];
  char zone[32];
  char service[32];
  int store_port;
  int callers, control, ready, metrics, peers, server;
  pid_t pid;
  char settings[512];
  char log[512];
};
void node_init (struct node *node, const char *name, const char *service,
                int store_port);
void node_start (struct node *node);
void node_kill (struct node *node, int signal_number);
bool node_has_ended (struct node *node, int *status);
bool node_is_ready (struct node *node);
void node_wait_ready (struct node *node, int64_t timeout_ms);

/* A backend.  */
struct backend;
struct backend_request
{
  struct backend *backend;
  struct http_head head;
  char id[80];
  char caller[64];
  char key[16];
};
struct backend
{
  char id[32];
  char service[32];
  int port;    /* it listens here */
  int control; /* its heartbeats go here */
  int slots;
  int run_ms;
  int64_t born;
  long sequence;
  bool draining;
  bool beats;       /* it sends heartbeats */
  int busy;
  int shed_percent; /* the percentage of requests that are shed */
  int shed_after_ms;
  bool keeps_shed; /* it reads what it sheds, and keeps the connection */
  /* The percentage of requests with a body that are answered early.  */
  int early_percent;
  unsigned draws;
  void (*on_run) (const struct backend_request *request);
  int listener;
  /* A sharded service: what the backend holds.  */
  bool sharded;
  uint64_t *fence;     /* of each key, 0: not held */
  uint64_t *seen;      /* highest fence seen for each key */
  int64_t hold_until;  /* end of the hold */
  char freed[2048];    /* rows that no answered heartbeat has told yet */
  bool beat_soon;
  int64_t last_beat_at;
  bool quiet; /* its runs and answers are not recorded */
  pthread_mutex_t lock;
  void (*on_holds) (struct backend *backend);
  /* Return whether another copy of this answer is to come late.  */
  bool (*copies_answer) (struct backend *backend, int status);
};
#define KEYS 65536
void backend_init (struct backend *backend, const char *id,
                   const char *service, const struct node *node, int slots,
                   int run_ms);
void backend_start (struct backend *backend);
int backend_heartbeat (struct backend *backend);
int backend_deregister (struct backend *backend);
void backend_expire_holds (struct backend *backend);

/* A client's request.  */
struct answer
{
  int status; /* 0: the connection ended, -1: no answer in time */
  bool whole;
  bool stamped;
  bool reused; /* it was sent on a kept connection */
  int64_t took_ms;
};
struct client_request
{
  int port;
  const char *method;
  const char *path;
  const char *host;
  const char *key; /* may be NULL */
  char id[64];
  int deadline_ms;
  int give_up_ms;    /* how long the client waits, 0: its deadline */
  size_t body_first; /* bytes of the body sent with the head */
  size_t body_bytes; /* bytes of the whole body */
  int body_gap_ms;   /* pause before each further part */
  size_t body_part;  /* bytes of each further part */
  int *kept; /* kept connection, -1 in it: none yet; NULL: a new one */
  bool quiet; /* its lines are not recorded */
};
void client_request_init (struct client_request *request, int port,
                          const char *method, const char *path);
struct answer client_send (const struct client_request *request);

/* The operator's configuration: ROWS are the rows of the routes, SERVICES the
   rows of the services.  */
void operator_put (int version, const char *rows, const char *services);

#endif
