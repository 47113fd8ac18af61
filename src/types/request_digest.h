#ifndef BAMBOOTALLY_REQUEST_DIGEST_H
#define BAMBOOTALLY_REQUEST_DIGEST_H

#include "types/request.h"

/* Digests by which a request that crashes servers is recognized when it comes
   again; see docs/design/crash-quarantine.md.  The head of a request is its
   method, path, host, caller and service.  Two requests are the same if head
   and body are the same.  */

guint64 request_digest_of_head (const char *method, const char *target,
                                const char *host, const char *caller);
guint64 request_digest_of_body (const void *bytes, gsize count);
void request_digest_set_service (struct request *request);
void request_digest_set_body (struct request *request, guint64 body_digest);
gboolean request_digest_has_head (guint64 digest, guint64 head_digest);

#endif
