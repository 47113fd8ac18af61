#ifndef BAMBOOTALLY_FORWARD_MSG_H
#define BAMBOOTALLY_FORWARD_MSG_H

#include "types/load_report.h"
#include "types/request.h"

/* Messages that forward a request from the node where it entered to the
   owner's node.  The forwarding node pulls the answer in pieces, so that each
   side buffers no more than was asked for.  */

/* Start forwarding a request.  */
struct forward_request
{
  guint64 stream; /* id of the forwarded request, chosen by the sender, unique
                     on its connection */
  guint64 target_incarnation; /* incarnation that must run the request */
  struct request request; /* its deadline is sent as the microseconds left */
  struct fence fence;     /* highest fence known to the sender */
  char *method;           /* HTTP method */
  char *target;           /* path and query */
  char *headers;          /* header lines, each ended by CR LF */
  gint64 body_length;     /* bytes in the whole body; -1: not known */
  guint32 chunk_length;   /* length of chunk, bytes */
  guint8 *chunk;          /* first bytes of the body */
  gboolean is_last_chunk; /* the body ends with this chunk */
  gint64 sent_at;         /* when the message was queued, microseconds on the
                             sender's clock; 0: not known */
};

/* The head of the answer, or how the request ended without an answer.  */
struct forward_response_head
{
  enum outcome outcome;     /* OUTCOME_DONE if there is an answer */
  enum reason reason;       /* why there is no answer */
  struct stamp stamp;       /* stamp to return to the caller */
  guint32 retry_after_msec; /* advice when to retry, milliseconds; 0: none */
  struct load_report load;  /* load of the sender */
  guint32 http_status;      /* HTTP status of the answer */
  char *headers;            /* header lines of the answer */
  gint64 body_length;       /* bytes in the whole body; -1: not known */
  guint32 chunk_length;     /* length of chunk, bytes */
  guint8 *chunk;            /* first bytes of the body */
  gboolean is_last_chunk;   /* the body ends with this chunk */
};

/* The next bytes of a request body; the reply confirms their receipt.  */
struct forward_request_chunk
{
  guint64 stream;         /* id of the forwarded request */
  guint32 chunk_length;   /* length of chunk, bytes */
  guint8 *chunk;          /* next bytes of the body */
  gboolean is_last_chunk; /* the body ends with this chunk */
};

/* The next bytes of an answer's body, in reply to RPC_READ_RESPONSE.  */
struct forward_response_chunk
{
  enum outcome outcome;   /* OUTCOME_DONE unless the answer broke off */
  enum reason reason;     /* why the answer broke off */
  guint32 chunk_length;   /* length of chunk, bytes */
  guint8 *chunk;          /* next bytes of the body */
  gboolean is_last_chunk; /* the body ends with this chunk */
};

#endif
