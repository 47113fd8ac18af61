#ifndef BAMBOOTALLY_WIRE_RPC_H
#define BAMBOOTALLY_WIRE_RPC_H

#include "wire/wire.h"

/* Headers and record marking of ONC RPC (RFC 5531) for messages between
   nodes.  The arguments or results follow the header in the same message.  */

#define RPC_PROGRAM 0x20b7a11du /* program number, in the range for users */
#define RPC_PROGRAM_VERSION 1u
/* Bytes of the record mark before a message.  */
#define RPC_RECORD_MARK_BYTES 4u
#define RPC_MESSAGE_BYTES_MAX 2097152u /* bytes in one message */

/* Procedures of the program.  */
enum rpc_procedure
{
  RPC_NULL = 0, /* no arguments and no results: a probe */
  RPC_PEER = 1, /* struct peer_call to struct peer_reply */
  /* struct forward_request to struct forward_response_head */
  RPC_FORWARD_REQUEST = 2,
  RPC_FORWARD_CHUNK = 3, /* struct forward_request_chunk to nothing */
  RPC_READ_RESPONSE = 4, /* id of a request to struct forward_response_chunk */
  RPC_CANCEL = 5,        /* id of a request to nothing */
  RPC_READ_LOG = 6,      /* struct tail_call to struct tail_reply */
  RPC_MESH = 7           /* struct mesh_call to struct mesh_reply */
};

/* The decoded header of a message.  */
struct rpc_header
{
  guint32 xid;                  /* id of the call */
  gboolean is_call;             /* the message is a call, not a reply */
  enum rpc_procedure procedure; /* in a call: its procedure */
  enum err code; /* in a reply: ERR_NONE, or why the call failed */
  gsize length;  /* bytes of the header */
};

void rpc_write_call (GByteArray *to, guint32 xid, enum rpc_procedure procedure,
                     wire_filter *filter, const void *item);
void rpc_write_reply (GByteArray *to, guint32 xid, enum err code,
                      wire_filter *filter, const void *item);
enum err rpc_read_header (const guint8 *bytes, gsize length,
                          struct rpc_header *header);

#endif
