#ifndef TESTS_UNREAD_CROWD_H
#define TESTS_UNREAD_CROWD_H

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Callers that send requests on plain sockets and read nothing.  */

/* Receive buffer of a caller's socket: small, so that unread responses stay
   with the node.  The kernel doubles it.  */
#define UNREAD_RECEIVE_BYTES 1024

/* Segment size of a caller's socket, as on an Ethernet.  With that of the
   loopback device the kernel takes 1.6 MB of each response from the node.  */
#define UNREAD_SEGMENT_BYTES 1448

/* One connection of a caller.  */
struct unread_caller
{
  int fd;        /* socket */
  GString *text; /* what it sends */
  gsize sent;    /* bytes of text that were sent */
};

/* What the callers do.  */
struct unread_crowd
{
  guint connections;  /* connections */
  guint requests;     /* requests on each; 0: a head without its end */
  gsize answer_bytes; /* bytes in the body of each response */
  gsize head_bytes;   /* bytes of a head without its end */
};

/* Append to TEXT a request with the id NUMBER-SERIAL, whose response has a
   body of BYTES.  */
static inline void
unread_add_request (GString *text, guint number, guint serial, gsize bytes)
{
  g_string_append_printf (text,
                          "GET /svc/%zu HTTP/1.1\r\nHost: t\r\n"
                          "Request-Id: c%u-%u\r\nDeadline-Ms: 20000\r\n\r\n",
                          bytes, number, serial);
}

/* Begin to connect to PORT on this host.  */
static inline int
unread_connect (guint16 port)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int bytes = UNREAD_RECEIVE_BYTES;
  int segment = UNREAD_SEGMENT_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    g_debug ("connection %d is on its way", fd);
  return fd;
}

/* Add connection NUMBER of CROWD to PORT.  */
static inline struct unread_caller *
unread_caller_new (const struct unread_crowd *crowd, guint number,
                   guint16 port)
{
  struct unread_caller *caller = g_new0 (struct unread_caller, 1);
  guint i;

  caller->fd = unread_connect (port);
  caller->text = g_string_new (NULL);
  for (i = 0; i < crowd->requests; i++)
    unread_add_request (caller->text, number, i, crowd->answer_bytes);
  if (crowd->requests > 0)
    return caller;
  g_string_append (caller->text, "GET /svc/1 HTTP/1.1\r\nHost: t\r\n");
  while (caller->text->len < crowd->head_bytes)
    g_string_append (caller->text, "X-Field: a value of some length\r\n");
  return caller;
}

/* Send more of what CALLER has to send.  */
static inline void
unread_caller_send (struct unread_caller *caller)
{
  ssize_t count = 1;

  while (count > 0 && caller->sent < caller->text->len)
    {
      count = send (caller->fd, caller->text->str + caller->sent,
                    caller->text->len - caller->sent,
                    MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count > 0)
        caller->sent += (gsize)count;
    }
}

/* Close the connection of CALLER; for GPtrArray.  */
static inline void
unread_caller_free (gpointer data)
{
  struct unread_caller *caller = data;

  close (caller->fd);
  g_string_free (caller->text, TRUE);
  g_free (caller);
}

#endif
