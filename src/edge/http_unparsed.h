#ifndef BAMBOOTALLY_HTTP_UNPARSED_H
#define BAMBOOTALLY_HTTP_UNPARSED_H

#include "edge/http.h"

/* The bytes that a call has received and not parsed.  The receive buffer is
   shortened only when all that has arrived is parsed, since that moves what is
   left.  */

const guint8 *http_unparsed (const struct http_call *call);
gsize http_unparsed_count (const struct http_call *call);

#endif
