#ifndef TESTS_HTTP_SERVER_RUN_H
#define TESTS_HTTP_SERVER_RUN_H

#include "tests/http_server_stage.h"

/* A run of random events on one connection, and the check of what its caller
   has received.  */

/* How far the test is with the response to a request.  */
struct reply
{
  gsize length;     /* bytes of its body */
  gsize written;    /* of them, taken by the server */
  gboolean begun;   /* its head was taken */
  gboolean ended;   /* it was written to its end, or broken off */
  gboolean chunked; /* its length is not told in its head */
};

/* A run with one seed.  */
struct run
{
  struct server_stage stage;
  struct reply replies[STAGE_REQUESTS]; /* by place in `stage.requests' */
  GRand *random;
  guint sent;   /* requests that the caller sent */
  guint broken; /* first request whose response was broken off,
                   STAGE_REQUESTS: none was */
};

/* Return byte AT of the body of the response to request I.  */
static inline char
body_byte (const struct run *run, guint i, gsize at)
{
  const char *target = run->stage.requests[i].target;

  return target[at % strlen (target)];
}

/* Check the response at *AT to request I, and move AT behind it.  Return
   whether it is whole.  */
static inline gboolean
check_response (const struct run *run, guint i, const char **at)
{
  const char *end = strstr (*at, "\r\n\r\n");
  const struct reply *reply = &run->replies[i];
  gsize done = 0;

  if (end == NULL)
    return FALSE;
  CU_ASSERT_TRUE (g_str_has_prefix (*at, "HTTP/1.1 200 "));
  *at = end + 4;
  while (!reply->chunked || **at != '0')
    {
      gsize size = reply->length;
      gsize k;
      if (reply->chunked)
        {
          char *rest;
          size = strtoul (*at, &rest, 16);
          if (size == 0 || !g_str_has_prefix (rest, "\r\n"))
            return FALSE;
          *at = rest + 2;
        }
      for (k = 0; k < size; k++)
        {
          if (**at == '\0')
            return FALSE;
          if (**at != body_byte (run, i, done + k))
            {
              CU_FAIL ("a byte of another response");
              return FALSE;
            }
          (*at)++;
        }
      done += size;
      if (!reply->chunked)
        return TRUE;
      if (!g_str_has_prefix (*at, "\r\n"))
        return FALSE;
      *at += 2;
    }
  if (!g_str_has_prefix (*at, "0\r\n\r\n"))
    return FALSE;
  *at += 5;
  CU_ASSERT_EQUAL (done, reply->length);
  return TRUE;
}

#endif
