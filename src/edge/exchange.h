#ifndef BAMBOOTALLY_EXCHANGE_H
#define BAMBOOTALLY_EXCHANGE_H

#include "edge/body.h"
#include "edge/http.h"
#include "edge/http_server.h"
#include "edge/link.h"
#include "types/action.h"
#include "types/body_end.h"
#include "types/forward_msg.h"
#include "types/server_notice.h"

#include <xxhash.h>

struct proxy;

/* A request in transit through this process, with its source, its target, and
   the bodies of request and response.  */

/* Origin of a request.  */
enum source_kind
{
  SOURCE_CALLER, /* a caller, over HTTP */
  SOURCE_PEER    /* another node, over ONC RPC */
};

/* Request from a caller.  */
struct source_caller
{
  struct handle request;  /* request of the HTTP server */
  gboolean submitted;     /* the request was submitted to the core */
  gboolean body_received; /* the whole request body was received */
  gboolean body_paused;   /* reading of the request body is suspended */
  gboolean head_sent;     /* the response head was sent, or is held until its
                             turn */
};

/* Request forwarded by another node.  */
struct source_peer
{
  struct handle link;     /* connection to that node */
  guint64 stream;         /* id of the stream, chosen by that node */
  guint32 forward_xid;    /* xid of the RPC_FORWARD_REQUEST */
  gint64 submit_at;       /* when the request is submitted, monotonic usec; 0:
                             at the end of the batch that it came with */
  gboolean head_sent;     /* the response head was sent */
  gboolean read_pending;  /* an RPC_READ_RESPONSE waits for bytes */
  guint32 read_xid;       /* xid of the last RPC_READ_RESPONSE */
  gboolean chunk_pending; /* an RPC_FORWARD_CHUNK waits for room */
  guint32 chunk_xid;      /* xid of the last RPC_FORWARD_CHUNK */
  gboolean end_sent;      /* the end of the response was sent */
  gint64 bytes_sent;      /* bytes of the response body that were sent */
  gboolean is_queued; /* the next part of the response waits for the link */
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

/* Destination of an attempt.  */
enum target_kind
{
  TARGET_NONE,   /* no attempt in progress */
  TARGET_SERVER, /* the backend server, over HTTP */
  TARGET_PEER    /* the owner's node, over ONC RPC */
};

/* Attempt at the backend server.  */
struct target_server
{
  struct handle call;              /* handle of the HTTP call */
  guint64 attempt_id;              /* id that the response must echo */
  char expected_server[NAME_SIZE]; /* server that must respond, empty: any */
};

/* Attempt at the owner's node.  */
struct target_peer
{
  struct handle link;     /* connection to that node */
  guint64 stream;         /* id of the stream, chosen by this node */
  gboolean chunk_pending; /* an RPC_FORWARD_CHUNK has no reply yet */
  gboolean end_sent;      /* the end of the request body was sent */
  gboolean read_pending;  /* an RPC_READ_RESPONSE has no reply yet */
};

struct target
{
  enum target_kind kind;
  gboolean has_head; /* the response head was received */
  union
  {
    struct target_server server;
    struct target_peer peer;
  } u;
};

/* Head of a response.  */
struct response_head
{
  struct address owner_address; /* owner's caller address; port 0: this node */
  guint http_status;            /* HTTP status code */
  SoupMessageHeaders *headers;  /* headers to forward */
  gboolean has_caller_fields;   /* they have the fields for callers */
  gint64 body_length;           /* size of the body in bytes, -1 if unknown */
  struct stamp stamp;           /* stamp for the caller */
  guint32 retry_after_msec;     /* delay before a retry, 0 for none */
  struct load_report load;      /* load of the node that responded */
  gboolean has_load;            /* the load was reported */
  gboolean has_notice;          /* the local server answered */
  struct server_notice notice;  /* what the local server said of itself */
};

struct exchange
{
  struct proxy *proxy;    /* data path of this process */
  struct handle self;     /* handle of this exchange */
  struct handle holder;   /* what counts its bytes: the caller's connection, or
                             the request of the other node */
  struct source source;   /* origin of the request */
  struct target target;   /* destination of the attempt */
  struct request request; /* properties used for routing */
  char *method;           /* HTTP method */
  char *host_header;      /* Host header of the caller, or NULL */
  char *request_target;   /* path and query */
  SoupMessageHeaders *request_headers; /* headers to forward */
  gint64 request_length;         /* request body size in bytes, -1 unknown */
  struct body request_body;      /* request body */
  XXH3_state_t *body_hash;       /* hash of the request body so far, NULL: not
                                    computed */
  gboolean withholds_end;        /* the last byte of the request body is not
                                    sent yet */
  struct body response_body;     /* response body */
  struct response_head response; /* response head */
  gboolean has_response;         /* the response head is ready to be sent */
};

/* Lifetime.  */
struct exchange *exchange_add (struct proxy *proxy, enum source_kind kind);
struct exchange *exchange_get (const struct proxy *proxy, struct handle h);
void exchange_remove (struct exchange *exchange);
void exchange_submit (struct exchange *exchange);
void exchange_digest_begin (struct exchange *exchange);
void exchange_append_request (struct exchange *exchange, const guint8 *bytes,
                              gsize count);
void exchange_digest_end (struct exchange *exchange);
void exchange_digest_clear (struct exchange *exchange);
void exchange_body_ended (struct exchange *exchange, enum body_end end);
void exchange_disconnected (struct exchange *exchange, enum body_end end);

/* The byte budget.  */
void exchange_set_holder (struct exchange *exchange, struct handle holder);
gboolean exchange_takes_more (const struct exchange *exchange);
void exchange_passed_on (struct exchange *exchange);
void exchange_drop (gpointer exchange);

/* Request path, towards the target.  */
void exchange_run (struct proxy *proxy, const struct action_run *action);
void exchange_forward (struct proxy *proxy,
                       const struct action_forward *action);
void exchange_cancel (struct proxy *proxy, struct handle h);
gsize exchange_sendable (const struct exchange *exchange);
gboolean exchange_begin_attempt (struct exchange *exchange);
void exchange_pump_request (struct exchange *exchange);
void exchange_attempt_ended (struct exchange *exchange, enum outcome outcome,
                             enum reason reason);
void exchange_on_reply (struct proxy *proxy, const struct link_event *event);
void target_server_pump (struct exchange *exchange);
void target_peer_pump (struct exchange *exchange);
void target_peer_read (struct exchange *exchange);
void target_abort (struct exchange *exchange);

/* Response path, towards the source.  */
void exchange_answer (struct proxy *proxy, const struct action_answer *action);
void exchange_pump_response (struct exchange *exchange);
void source_caller_on_event (struct proxy *proxy,
                             const struct http_server_event *event);
void source_caller_received (struct exchange *exchange);
void source_caller_pump (struct exchange *exchange);
gboolean source_caller_take_back (struct exchange *exchange);
void source_caller_resume (struct exchange *exchange);
void source_caller_detach (struct exchange *exchange);
void caller_body_got_bytes (struct exchange *exchange, const guint8 *bytes,
                            gsize count);
void source_peer_on_forward (struct proxy *proxy,
                             const struct link_event *event);
void source_peer_submit_arrivals (struct proxy *proxy, gint64 now);
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
gboolean source_peer_may_send (struct exchange *exchange);
gsize source_peer_part (const struct exchange *exchange);
void source_peer_sent (struct exchange *exchange, gsize bytes);
void source_peer_send_long (struct proxy *proxy, gint64 now);

#endif
