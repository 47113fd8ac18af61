#ifndef BAMBOOTALLY_HTTP_IDLE_H
#define BAMBOOTALLY_HTTP_IDLE_H

#include "edge/http.h"

/* Pool of idle connections of the HTTP client, for reuse by later calls.  */

void http_keep_idle (struct http *http, struct address to, struct conn *conn);
struct conn *http_take_idle (struct http *http, struct address to);
void http_idle_free (gpointer data);

#endif
