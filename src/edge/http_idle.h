#ifndef BAMBOOTALLY_HTTP_IDLE_H
#define BAMBOOTALLY_HTTP_IDLE_H

#include "edge/http.h"

/* Connections of the HTTP client that wait for another call.  */

void http_keep_idle (struct http *http, struct address to, struct conn *conn);
struct conn *http_take_idle (struct http *http, struct address to);
void http_idle_free (gpointer data);

#endif
