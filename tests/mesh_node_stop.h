#ifndef TESTS_MESH_NODE_STOP_H
#define TESTS_MESH_NODE_STOP_H

#include "tests/mesh_node_stage.h"

/* Callers of a node, and its stop.  */

/* Callers */

/* Connect to PORT.  */
static inline GSocket *
connect_to (guint16 port)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  GSocketAddress *at
      = g_inet_socket_address_new_from_string ("127.0.0.1", port);

  CU_ASSERT_TRUE_FATAL (g_socket_connect (socket, at, NULL, NULL));
  g_socket_set_blocking (socket, FALSE);
  g_object_unref (at);
  return socket;
}

/* Send TEXT on SOCKET.  */
static inline void
send_text (GSocket *socket, const char *text)
{
  CU_ASSERT_EQUAL (g_socket_send (socket, text, strlen (text), NULL, NULL),
                   (gssize)strlen (text));
}

/* Return the status of the answer that has arrived on SOCKET, 0 for none.  */
static inline int
received_status (GSocket *socket)
{
  char text[1024] = "";
  int status = 0;
  gssize count = g_socket_receive (socket, text, sizeof text - 1, NULL, NULL);

  if (count > 0 && sscanf (text, "HTTP/1.1 %d ", &status) != 1)
    status = 0;
  return status;
}

/* Run the loop until an answer has arrived on SOCKET.  Return its status.  */
static inline int
wait_for_status (GSocket *socket)
{
  gint64 deadline = clock_usec () + CASE_USEC;
  int status = 0;

  while (status == 0 && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      status = received_status (socket);
    }
  return status;
}

/* The stop */

/* End the loop of NODE, which did not end by itself.  */
static inline gboolean
on_overdue (gpointer data)
{
  struct mesh_node *node = data;

  CU_FAIL ("the node did not end");
  g_main_loop_quit (node->loop);
  return G_SOURCE_REMOVE;
}

/* Let the node have been asked to stop AGO_USEC before now, make its next tick
   due, and run it to its end.  What was sent to it before is ready in the same
   turn of the loop as that tick.  */
static inline void
run_to_end (struct mesh_node *node, gint64 ago_usec)
{
  GSource *tick = g_main_context_find_source_by_id (NULL, node->tick_timer);
  guint overdue = g_timeout_add (CASE_MSEC, on_overdue, node);

  node->proxy.leaving = TRUE;
  node->mesh.stop_requested_at = clock_usec () - ago_usec;
  g_source_set_ready_time (tick, 0);
  g_main_loop_run (node->loop);
  if (g_main_context_find_source_by_id (NULL, overdue) != NULL)
    g_source_remove (overdue);
}

#endif
