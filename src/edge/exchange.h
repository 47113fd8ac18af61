#ifndef BAMBOOTALLY_EXCHANGE_H
#define BAMBOOTALLY_EXCHANGE_H

#include "edge/body.h"
#include "edge/http.h"
#include "edge/link.h"
#include "types/action.h"
#include "types/forward_msg.h"

struct proxy;

/* A request on its way through this process: where it came from, where it
   goes, and the two bodies between.  */

/* Where a request came from.  */
enum source_kind
{
  SOURCE_CALLER, /* a caller, over HTTP */
  SOURCE_PEER    /* another node, over ONC RPC */
};

/* A caller.  */
struct source_caller
{
  SoupServerMessage *message; /* the request, a reference of its own */
  GSource *close_watch;       /* on its connection, or NULL */
  gboolean submitted;         /* the core was told of it */
  gboolean body_received;     /* the request's body has come whole */
  gboolean body_paused;       /* the request's body is held back */
  gboolean head_sent;         /* the answer's head has gone out */
  gboolean write_pending;     /* a part of the answer is being written */
  gboolean response_complete; /* the answer was ended */
};

/* Another node.  */
struct source_peer
{
  struct handle link;     /* the connection it came on */
  guint64 stream;         /* the peer's name for it */
  guint32 forward_xid;    /* call that waits for the head */
  gboolean head_sent;     /* the head has gone out */
  gboolean read_pending;  /* a read waits for bytes */
  guint32 read_xid;       /* that call */
  gboolean chunk_pending; /* a data call waits until there is room */
  guint32 chunk_xid;      /* that call */
  gboolean end_sent;      /* the end of the answer has gone out */
};

struct source
{
  enum source_kind kind;
  union
  {
    struct source_caller caller;
    struct source_peer peer;
  } u;
};

/* Where a request goes.  */
enum target_kind
{
  TARGET_NONE,   /* nowhere yet */
  TARGET_SERVER, /* the backend server, over HTTP */
  TARGET_PEER    /* the owner's node, over ONC RPC */
};

/* The backend server.  */
struct target_server
{
  struct handle call;              /* the HTTP call */
  guint64 attempt_id;              /* must be echoed */
  char expected_server[NAME_SIZE]; /* server that is meant, empty for any */
};

/* The owner's node.  */
struct target_peer
{
  struct handle link;     /* the connection to it */
  guint64 stream;         /* this node's name for the attempt */
  gboolean chunk_pending; /* a data call has not been answered */
  gboolean end_sent;      /* the end of the request's body has gone out */
  gboolean read_pending;  /* a read call has not been answered */
};

struct target
{
  enum target_kind kind;
  gboolean has_head; /* the answer's head has come */
  union
  {
    struct target_server server;
    struct target_peer peer;
  } u;
};

/* The head of an answer.  */
struct response_head
{
  struct address owner_address; /* front of the owner's node, port 0: here */
  guint http_status;            /* HTTP status */
  SoupMessageHeaders *headers;  /* headers to hand on */
  gint64 body_length;           /* bytes in the body, -1 if not known */
  struct stamp stamp;           /* stamp to hand to the caller */
  guint32 retry_after_msec;     /* advice when to try again, 0 for none */
  struct load_report load;      /* how busy the node that answered is */
  gboolean has_load;            /* it told that */
};

struct exchange
{
  struct proxy *proxy;    /* the process */
  struct handle self;     /* its handle */
  struct source source;   /* where it came from */
  struct target target;   /* where it goes */
  struct request request; /* as routing sees it */
  char *method;           /* HTTP method */
  char *host_header;      /* host that the caller named, or NULL */
  char *request_target;   /* path and query */
  SoupMessageHeaders *request_headers; /* headers to hand on */
  gint64 request_length;         /* bytes in the request's body, -1 unknown */
  struct body request_body;      /* the request's body */
  struct body response_body;     /* the answer's body */
  struct response_head response; /* the answer's head */
  gboolean has_response;         /* the head is filled in */
};

/* Life.  */
struct exchange *exchange_add (struct proxy *proxy, enum source_kind kind);
struct exchange *exchange_get (const struct proxy *proxy, struct handle h);
void exchange_remove (struct exchange *exchange);
void exchange_submit (struct exchange *exchange);
void exchange_disconnected (struct exchange *exchange);

/* Towards the target.  */
void exchange_run (struct proxy *proxy, const struct action_run *action);
void exchange_forward (struct proxy *proxy,
                       const struct action_forward *action);
void exchange_cancel (struct proxy *proxy, struct handle h);
void exchange_reset_attempt (struct exchange *exchange);
void exchange_pump_request (struct exchange *exchange);
void exchange_attempt_ended (struct exchange *exchange, enum outcome outcome,
                             enum reason reason);
void exchange_on_reply (struct proxy *proxy, const struct link_event *event);
void target_server_pump (struct exchange *exchange);
void target_peer_pump (struct exchange *exchange);
void target_peer_read (struct exchange *exchange);
void target_abort (struct exchange *exchange);

/* Towards the source.  */
void exchange_answer (struct proxy *proxy, const struct action_answer *action);
void exchange_pump_response (struct exchange *exchange);
struct exchange *source_caller_find (SoupServerMessage *message,
                                     struct proxy *proxy);
void source_caller_attach (struct proxy *proxy, SoupServerMessage *message);
void source_caller_handle (struct proxy *proxy, SoupServerMessage *message);
void source_caller_received (struct exchange *exchange);
void source_caller_pump (struct exchange *exchange);
void source_caller_resume (struct exchange *exchange);
void source_caller_abort (struct exchange *exchange);
void source_caller_detach (struct exchange *exchange);
void caller_watch_start (struct exchange *exchange);
void caller_watch_stop (struct exchange *exchange);
void source_peer_on_forward (struct proxy *proxy,
                             const struct link_event *event);
void source_peer_on_chunk (struct proxy *proxy,
                           const struct link_event *event);
void source_peer_on_read (struct proxy *proxy, const struct link_event *event);
void source_peer_on_cancel (struct proxy *proxy,
                            const struct link_event *event);
void source_peer_on_closed (struct proxy *proxy, struct handle link);
void source_peer_pump (struct exchange *exchange);
void source_peer_resume (struct exchange *exchange);
void source_peer_fail (struct exchange *exchange,
                       const struct action_answer *action);

#endif
