#include "types/request_digest.h"

#include <string.h>
#include <xxhash.h>

/* The digest of a request has that of its head in its upper half.  */
#define HEAD_MASK G_GUINT64_CONSTANT (0xffffffff00000000)

/* Return the digest of TEXT behind what SEED is the digest of.  The final zero
   separates texts.  */
static guint64
add_text (guint64 seed, const char *text)
{
  return XXH3_64bits_withSeed (text, strlen (text) + 1, seed);
}

/* Return the digest of the head of a request of METHOD for TARGET at HOST from
   CALLER, the service at whose host it entered.  HOST and CALLER may be NULL.
   The service that it is routed to is added later.  */
guint64
request_digest_of_head (const char *method, const char *target,
                        const char *host, const char *caller)
{
  guint64 digest = add_text (add_text (0, method), target);

  digest = add_text (digest, host != NULL ? host : "");
  return add_text (digest, caller != NULL ? caller : "");
}

/* Return the digest of the whole body of a request, COUNT BYTES.  */
guint64
request_digest_of_body (const void *bytes, gsize count)
{
  return XXH3_64bits (bytes, count);
}

/* Set the digest of REQUEST from that of its head and its body.  */
static void
combine (struct request *request)
{
  guint64 body = XXH3_64bits_withSeed (&request->body_digest,
                                       sizeof request->body_digest,
                                       request->head_digest);

  request->digest
      = request->has_body_digest
            ? (request->head_digest & HEAD_MASK) | (body & ~HEAD_MASK) | 1
            : 0;
}

/* Add the service of REQUEST, which was routed, to the digest of its head.
   Nothing is done if that is not known.  */
void
request_digest_set_service (struct request *request)
{
  if (request->head_digest == 0)
    return;
  request->head_digest = add_text (request->head_digest, request->service);
  combine (request);
}

/* Set the digest of the body of REQUEST, which is whole now.  Nothing is done
   if the digest of its head is not known.  */
void
request_digest_set_body (struct request *request, guint64 body_digest)
{
  if (request->head_digest == 0)
    return;
  request->body_digest = body_digest;
  request->has_body_digest = TRUE;
  combine (request);
}

/* Return whether DIGEST is of a request whose head has HEAD_DIGEST.  */
gboolean
request_digest_has_head (guint64 digest, guint64 head_digest)
{
  return (digest & HEAD_MASK) == (head_digest & HEAD_MASK);
}
