#ifndef BAMBOOTALLY_HTTP_LISTENER_H
#define BAMBOOTALLY_HTTP_LISTENER_H

#include "edge/http_server.h"

/* A listening socket of an HTTP server.  */

struct http_listener
{
  struct http_server *server; /* server that accepts the connections */
  GSocket *socket;            /* the socket */
  struct handle poll_handle;  /* its registration with the poller */
  gint64 resume_at; /* when accepting is tried again after an error, monotonic
                       usec; 0: it goes on */
};

struct http_listener *http_listener_new (struct http_server *server,
                                         struct address at, enum err *code);
void http_listener_free (gpointer listener);
void http_listener_expire (struct http_listener *listener, gint64 now);

#endif
