#include <glib.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>

/* A bare SoupServer that answers two bytes: the baseline for the speed of a
   node.  Usage: bench_bare PORT.  */

/* Answer every request with status 200 and the body `ok'.  */
static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  (void)data;
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_STATIC,
                                    "ok", 2);
}

int
main (int argc, char **argv)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);

  if (argc < 2)
    return 2;
  soup_server_add_handler (server, NULL, on_request, NULL, NULL);
  if (!soup_server_listen_local (server, (guint)strtoul (argv[1], NULL, 10),
                                 SOUP_SERVER_LISTEN_IPV4_ONLY, NULL))
    return 1;
  g_main_loop_run (loop);
  return 0;
}
