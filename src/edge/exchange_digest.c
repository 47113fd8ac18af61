#include "edge/exchange.h"

#include "types/request_digest.h"

/* The digest of a request's body, which is computed as the body passes if it
   is forwarded before it is whole.  */

/* Begin to compute the digest of the request body of EXCHANGE, of which no
   more was received than is buffered.  */
void
exchange_digest_begin (struct exchange *exchange)
{
  const struct body *body = &exchange->request_body;

  exchange->body_hash = XXH3_createState ();
  XXH3_64bits_reset (exchange->body_hash);
  XXH3_64bits_update (exchange->body_hash, body_data (body),
                      body_remaining (body));
}

/* Append COUNT BYTES to the request body of EXCHANGE.  */
void
exchange_append_request (struct exchange *exchange, const guint8 *bytes,
                         gsize count)
{
  body_append (&exchange->request_body, bytes, count);
  if (exchange->body_hash != NULL)
    XXH3_64bits_update (exchange->body_hash, bytes, count);
}

/* Set the digest of the request of EXCHANGE if its body is whole now.  Nothing
   is known of a body that was dropped in part.  */
void
exchange_digest_end (struct exchange *exchange)
{
  if (exchange->body_hash != NULL && exchange->request_body.is_complete
      && !body_is_cut (&exchange->request_body))
    request_digest_set_body (&exchange->request,
                             XXH3_64bits_digest (exchange->body_hash));
  exchange_digest_clear (exchange);
}

/* Free what the digest of EXCHANGE is computed in.  */
void
exchange_digest_clear (struct exchange *exchange)
{
  XXH3_freeState (exchange->body_hash);
  exchange->body_hash = NULL;
}
