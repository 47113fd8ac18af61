#include "edge/exchange.h"

#include <string.h>
#include <xxhash.h>

/* Digests of requests, by which those that crash servers are recognized.  */

/* Return the digest of a request of METHOD for TARGET without a body.  */
guint64
exchange_head_digest (const char *method, const char *target)
{
  guint64 digest = XXH3_64bits (method, strlen (method));

  return XXH3_64bits_withSeed (target, strlen (target), digest);
}

/* Return the digest of a request: its method, path and body.  The body is left
   out if it is forwarded before it was received completely, as with a long
   request.  */
guint64
exchange_digest (const struct exchange *exchange)
{
  guint64 digest
      = exchange_head_digest (exchange->method, exchange->request_target);

  if (!exchange->request_body.is_complete
      || body_remaining (&exchange->request_body) == 0)
    return digest;
  return XXH3_64bits_withSeed (body_data (&exchange->request_body),
                               body_remaining (&exchange->request_body),
                               digest);
}
