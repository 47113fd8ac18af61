#ifndef BAMBOOTALLY_HTTP_LINE_H
#define BAMBOOTALLY_HTTP_LINE_H

#include "types/err.h"

#include <glib.h>

/* Lines of an HTTP/1.1 message, which end with CR LF.  */

#define HTTP_LINE_END_BYTES 2u /* CR LF */

enum err http_line_find (const guint8 *bytes, gsize count, gsize max,
                         gsize *length);

#endif
