#ifndef REVIEW_RIG_2_H
#define REVIEW_RIG_2_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Stand-ins for the platform's store, backend servers and clients, and the
   node processes that run between them.  All in one process, a thread for
   each connection.  */

#define KEYS 65536
#define NODES_MAX 12
#define TEXT 128

/* A message as received: head fields and body.  */
struct msg
{
  char method[16];
  char target[512];
  int status;
  char head[16384]; /* the fields, each line ended by CR LF */
  char *body;
  size_t length;
};

/* A backend server beside a node.  */
struct server
{
  int index;
  int port;
  const char *service;
  bool sharded;
  int slots;
  pthread_mutex_t lock;
  bool up;
  char id[TEXT];
  long long born;
  int life; /* counts starts; threads of an older life end */
  int listener;
  int conns[256]; /* open connections of this life */
  int conn_count;
  int running;
  long long seq;
  bool beats; /* sends heartbeats */
  bool draining;
  uint64_t fence[KEYS];     /* fence under which a key is held, 0: not */
  uint64_t max_fence[KEYS]; /* highest fence seen for a key */
  long long hold_until;     /* ms; all holds run out then */
  char freed[65536];        /* rows released since the last acked beat */
};

/* A node process with its addresses.  */
struct node
{
  int index;
  pid_t pid;
  int callers, control, ready, metrics, peers;
  char zone[TEXT];
  char file[512];
  struct server *server;
};

struct rig
{
  char dir[256];
  char ip[32]; /* the loopback address of this run */
  int store_port;
  int node_count;
  struct node nodes[NODES_MAX];
  struct server servers[NODES_MAX];
  bool trouble;
  volatile bool stop;
};

extern struct rig rig;

/* What a case decides.  ON_RUN is called without locks when SERVER begins to
   run a request; it returns the work time in ms, or -1 if the request crashes
   the server, which is back after CRASH_DOWN_MS.  */
extern int (*on_run) (struct server *server, const struct msg *request);
/* The length of the answer's body, if set and above 0.  */
extern size_t (*on_size) (const struct msg *request);
extern int crash_down_ms;
extern int memory_mb; /* memory of each host */

long long now_ms (void);
long long unix_ms (void);
void sleep_ms (int ms);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
bool msg_field (const struct msg *m, const char *name, char *to, size_t size);

/* Set up a deployment of COUNT nodes; SERVICES and SHARDED say what runs
   beside each.  CONFIG is the operator's first configuration.  */
void rig_start (int count, const char *const *services, const bool *sharded,
                const char *config);
void rig_end (void);
bool rig_wait_ready (int timeout_ms);
void rig_start_node (struct node *node);
void rig_put_config (const char *config);
void rig_put (const char *topic, const char *key, const char *value,
              size_t length);

/* Send a request to PORT on a connection of its own and return the status, 0
   if there was no answer.  */
int client_send (int port, const char *method, const char *host,
                 const char *path, const char *id, int key, const char *body,
                 size_t length, int deadline_ms, char *stamp, size_t size);
/* Call METHOD TARGET at PORT with a JSON body; return the status.  */
int call_json (int port, const char *method, const char *target,
               const char *json, char *answer, size_t size, int timeout_ms);
bool server_holds (struct server *server, int key);
/* Connect to PORT, with a receive buffer of RCVBUF bytes.  */
int client_connect (int port, int rcvbuf);
int finish (int code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
