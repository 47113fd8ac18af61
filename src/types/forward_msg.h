#ifndef BAMBOOTALLY_FORWARD_MSG_H
#define BAMBOOTALLY_FORWARD_MSG_H

#include "types/load_report.h"
#include "types/request.h"

/* How a request travels from the node it entered at to the owner's node.  The
   caller of these calls pulls the answer, so that each side holds no more
   than it asked for.  */

/* Begin a request.  */
struct forward_request
{
  guint64 stream; /* the sender's name for it, unique a connection */
  guint64 target_incarnation; /* incarnation that is meant */
  struct request request;     /* deadline: microseconds left, on the wire */
  struct fence fence;         /* fence that the sender knows */
  char *method;               /* HTTP method */
  char *target;               /* path and query */
  char *headers;              /* header lines, each ended by CR LF */
  gint64 body_length;         /* bytes in the body, -1 if not known */
  guint32 chunk_length;       /* bytes of the body that follow */
  guint8 *chunk;              /* they */
  gboolean is_last_chunk;     /* the body ends with them */
};

/* The head of the answer, or how the request ended without one.  */
struct forward_response_head
{
  enum outcome outcome;     /* OUTCOME_DONE if there is a head */
  enum reason reason;       /* why there is none */
  struct stamp stamp;       /* stamp to hand to the caller */
  guint32 retry_after_msec; /* when to try again, 0 for no advice */
  struct load_report load;  /* how busy the sender is */
  guint32 http_status;      /* HTTP status */
  char *headers;            /* header lines */
  gint64 body_length;       /* bytes in the body, -1 if not known */
  guint32 chunk_length;     /* bytes of the body that follow */
  guint8 *chunk;            /* they */
  gboolean is_last_chunk;   /* the body ends with them */
};

/* More of the body of a request; the reply says that it was taken.  */
struct forward_request_chunk
{
  guint64 stream;         /* the request */
  guint32 chunk_length;   /* bytes that follow */
  guint8 *chunk;          /* they */
  gboolean is_last_chunk; /* the body ends with them */
};

/* More of the body of an answer, in reply to a read.  */
struct forward_response_chunk
{
  enum outcome outcome;   /* OUTCOME_DONE, or the answer broke off */
  enum reason reason;     /* why it broke off */
  guint32 chunk_length;   /* bytes that follow */
  guint8 *chunk;          /* they */
  gboolean is_last_chunk; /* the body ends with them */
};

#endif
