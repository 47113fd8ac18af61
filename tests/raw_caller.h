#ifndef TESTS_RAW_CALLER_H
#define TESTS_RAW_CALLER_H

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A caller on a plain socket, which sends and ends as each test says.  */

/* How a caller ends its connection.  */
enum raw_end
{
  RAW_CLOSE,      /* closes it */
  RAW_HALF_CLOSE, /* closes its sending half and goes on reading */
  RAW_RESET,      /* resets it */
  RAW_END_COUNT   /* number of ways */
};

/* Connect to PORT on this host.  */
static inline int
raw_connect (guint16 port)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

/* Send TEXT on FD.  */
static inline void
raw_send (int fd, const char *text)
{
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

/* End the connection FD as END says.  A half-closed one stays open.  */
static inline void
raw_end (int fd, enum raw_end end)
{
  struct linger drop = { .l_onoff = 1, .l_linger = 0 };

  switch (end)
    {
    case RAW_HALF_CLOSE:
      shutdown (fd, SHUT_WR);
      return;
    case RAW_RESET:
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &drop, sizeof drop);
      break;
    case RAW_CLOSE:
    case RAW_END_COUNT:
      break;
    }
  close (fd);
}

/* Append to TEXT what has arrived on FD.  Return whether the other end has
   closed the connection.  */
static inline gboolean
raw_receive (int fd, GString *text)
{
  char part[65536];
  ssize_t count = recv (fd, part, sizeof part, MSG_DONTWAIT);

  if (count > 0)
    g_string_append_len (text, part, count);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

/* Return the first place of PART in TEXT, where it must be.  */
static inline const char *
raw_find (const char *text, const char *part)
{
  const char *at = strstr (text, part);

  CU_ASSERT_PTR_NOT_NULL (at);
  return at != NULL ? at : text + strlen (text);
}

/* Return the number of responses, or their heads, in TEXT.  */
static inline guint
raw_count_responses (const GString *text)
{
  const char *at = text->str;
  guint count = 0;

  for (; (at = strstr (at, "HTTP/1.1 ")) != NULL; at++)
    count++;
  return count;
}

#endif
