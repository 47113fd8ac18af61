#include "wire/wire_rpc.h"

#include <string.h>

#define LAST_FRAGMENT 0x80000000u /* top bit of a record mark */

/* Add a message, HEADER by its filter and then ITEM by FILTER, with its
   record mark.  */
static void
write_message (GByteArray *to, wire_filter *header_filter, void *header,
               wire_filter *filter, const void *item)
{
  guint at = to->len;
  guint header_size = (guint)xdr_sizeof ((xdrproc_t)header_filter, header);
  guint item_size = filter != NULL
                        ? (guint)xdr_sizeof ((xdrproc_t)filter, (void *)item)
                        : 0;
  guint32 mark;
  XDR xdr;

  g_byte_array_set_size (to,
                         at + RPC_RECORD_MARK_BYTES + header_size + item_size);
  xdrmem_create (&xdr, (char *)to->data + at + RPC_RECORD_MARK_BYTES,
                 header_size + item_size, XDR_ENCODE);
  header_filter (&xdr, header);
  if (filter != NULL)
    filter (&xdr, (void *)item);
  mark = GUINT32_TO_BE (xdr_getpos (&xdr) | LAST_FRAGMENT);
  g_byte_array_set_size (to, at + RPC_RECORD_MARK_BYTES + xdr_getpos (&xdr));
  memcpy (to->data + at, &mark, sizeof mark);
  xdr_destroy (&xdr);
}

/* The header of a call.  */
static bool_t
wire_call_header (XDR *xdr, void *item)
{
  return xdr_callmsg (xdr, item);
}

/* The header of a reply.  */
static bool_t
wire_reply_header (XDR *xdr, void *item)
{
  return xdr_replymsg (xdr, item);
}

/* Results that are nothing, for headers alone.  */
static bool_t
wire_nothing (XDR *xdr, void *item)
{
  (void)xdr;
  (void)item;
  return TRUE;
}

/* Add to TO the call XID of PROCEDURE with ITEM, which may be NULL with a
   NULL filter.  */
void
rpc_write_call (GByteArray *to, guint32 xid, enum rpc_procedure procedure,
                wire_filter *filter, const void *item)
{
  struct rpc_msg msg;

  memset (&msg, 0, sizeof msg);
  msg.rm_xid = xid;
  msg.rm_direction = CALL;
  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = RPC_PROGRAM;
  msg.rm_call.cb_vers = RPC_PROGRAM_VERSION;
  msg.rm_call.cb_proc = procedure;
  msg.rm_call.cb_cred.oa_flavor = AUTH_NONE;
  msg.rm_call.cb_verf.oa_flavor = AUTH_NONE;
  write_message (to, wire_call_header, &msg, filter, item);
}

/* Add to TO the reply to XID: ITEM, or with a CODE that it cannot be
   answered.  */
void
rpc_write_reply (GByteArray *to, guint32 xid, enum err code,
                 wire_filter *filter, const void *item)
{
  struct rpc_msg msg;

  memset (&msg, 0, sizeof msg);
  msg.rm_xid = xid;
  msg.rm_direction = REPLY;
  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_verf.oa_flavor = AUTH_NONE;
  msg.acpted_rply.ar_stat = code == ERR_NONE ? SUCCESS : GARBAGE_ARGS;
  msg.acpted_rply.ar_results.proc = (xdrproc_t)wire_nothing;
  write_message (to, wire_reply_header, &msg, code == ERR_NONE ? filter : NULL,
                 item);
}

/* Read the header of a call.  */
static enum err
read_call (XDR *xdr, struct rpc_header *header)
{
  struct rpc_msg msg;
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];

  memset (&msg, 0, sizeof msg);
  msg.rm_call.cb_cred.oa_base = cred;
  msg.rm_call.cb_verf.oa_base = verf;
  if (!xdr_callmsg (xdr, &msg) || msg.rm_call.cb_prog != RPC_PROGRAM)
    return ERR_MALFORMED;
  if (msg.rm_call.cb_vers != RPC_PROGRAM_VERSION)
    return ERR_VERSION;
  header->is_call = TRUE;
  header->procedure = (enum rpc_procedure)msg.rm_call.cb_proc;
  return ERR_NONE;
}

/* Read the header of a reply.  */
static enum err
read_reply (XDR *xdr, struct rpc_header *header)
{
  struct rpc_msg msg;
  char verf[MAX_AUTH_BYTES];

  memset (&msg, 0, sizeof msg);
  msg.acpted_rply.ar_verf.oa_base = verf;
  msg.acpted_rply.ar_results.proc = (xdrproc_t)wire_nothing;
  if (!xdr_replymsg (xdr, &msg))
    return ERR_MALFORMED;
  header->is_call = FALSE;
  header->code = msg.rm_reply.rp_stat == MSG_ACCEPTED
                         && msg.acpted_rply.ar_stat == SUCCESS
                     ? ERR_NONE
                     : ERR_MALFORMED;
  return ERR_NONE;
}

/* Read the header of the message in BYTES, which has no record mark.  */
enum err
rpc_read_header (const guint8 *bytes, gsize length, struct rpc_header *header)
{
  XDR xdr;
  guint32 words[2];
  enum err code;

  memset (header, 0, sizeof *header);
  if (length < sizeof words)
    return ERR_MALFORMED;
  memcpy (words, bytes, sizeof words);
  header->xid = GUINT32_FROM_BE (words[0]);
  xdrmem_create (&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
  code = GUINT32_FROM_BE (words[1]) == CALL ? read_call (&xdr, header)
                                            : read_reply (&xdr, header);
  header->length = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return code;
}
