#ifndef BAMBOOTALLY_WIRE_RPC_H
#define BAMBOOTALLY_WIRE_RPC_H

#include "wire/wire.h"

/* ONC RPC headers and record marking (RFC 5531) for messages between nodes.
   The arguments and results follow the header in the same message.  */

#define RPC_PROGRAM 0x20b7a11du /* program number, in the range for users */
#define RPC_PROGRAM_VERSION 1u
#define RPC_RECORD_MARK_BYTES 4u       /* record mark before a message */
#define RPC_MESSAGE_BYTES_MAX 2097152u /* bytes in one message */

/* Procedures of the program.  */
enum rpc_procedure
{
  RPC_NULL = 0, /* answers at once: a probe */
  RPC_PEER = 1, /* struct peer_call to struct peer_reply */
  RPC_FORWARD_REQUEST
  = 2, /* struct forward_request to struct forward_response_head */
  RPC_FORWARD_CHUNK = 3, /* struct forward_request_chunk to nothing */
  RPC_READ_RESPONSE = 4, /* stream to struct forward_response_chunk */
  RPC_CANCEL = 5,        /* stream to nothing */
  RPC_READ_LOG = 6,      /* struct tail_call to struct tail_reply */
  RPC_MESH = 7           /* struct mesh_call to struct mesh_reply */
};

/* What the header of a message says.  */
struct rpc_header
{
  guint32 xid;                  /* number of the call */
  gboolean is_call;             /* call or reply */
  enum rpc_procedure procedure; /* of a call */
  enum err code;                /* of a reply */
  gsize length;                 /* bytes that the header took */
};

void rpc_write_call (GByteArray *to, guint32 xid, enum rpc_procedure procedure,
                     wire_filter *filter, const void *item);
void rpc_write_reply (GByteArray *to, guint32 xid, enum err code,
                      wire_filter *filter, const void *item);
enum err rpc_read_header (const guint8 *bytes, gsize length,
                          struct rpc_header *header);

#endif
