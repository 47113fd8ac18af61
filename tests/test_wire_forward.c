#include "wire/wire_forward.h"
#include "tests/suite.h"

#include <string.h>

#define CALL_BYTES 4u    /* encoded length of whether a request is a call */
#define SENT_AT_BYTES 8u /* encoded bytes of when it was sent */
#define HEAD_BYTES 8u    /* encoded bytes of the digest of its head */

/* A forwarded request is the same after encoding and decoding.  */
static void
test_request_round_trip (void)
{
  struct forward_request sent = { .stream = 7,
                                  .target_incarnation = 9,
                                  .method = (char *)"GET",
                                  .target = (char *)"/plans/1",
                                  .headers = (char *)"A: b\r\n",
                                  .body_length = -1,
                                  .is_last_chunk = TRUE };
  struct forward_request decoded = { 0 };
  GByteArray *bytes;

  g_strlcpy (sent.request.service, "enquiry-desk",
             sizeof sent.request.service);
  g_strlcpy (sent.request.key, "1", sizeof sent.request.key);
  sent.request.run_class = RUN_ONCE;
  sent.request.deadline = 1500000;
  sent.request.is_call = TRUE;
  sent.request.head_digest = 321;
  sent.sent_at = 123456;
  sent.fence.offset = 21;
  bytes = wire_encode (wire_forward_request, &sent, 65536);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  if (bytes == NULL)
    return;
  CU_ASSERT_EQUAL (
      wire_decode (wire_forward_request, &decoded, bytes->data, bytes->len),
      ERR_NONE);
  CU_ASSERT_EQUAL (decoded.stream, 7);
  CU_ASSERT_EQUAL (decoded.body_length, -1);
  CU_ASSERT_EQUAL (decoded.request.run_class, RUN_ONCE);
  CU_ASSERT_EQUAL (decoded.fence.offset, 21);
  CU_ASSERT_TRUE (decoded.request.is_call);
  CU_ASSERT_STRING_EQUAL (decoded.request.service, "enquiry-desk");
  CU_ASSERT_STRING_EQUAL (decoded.headers, "A: b\r\n");
  CU_ASSERT_TRUE (decoded.is_last_chunk);
  CU_ASSERT_EQUAL (decoded.sent_at, 123456);
  CU_ASSERT_EQUAL (decoded.request.head_digest, 321);
  xdr_free ((xdrproc_t)wire_forward_request, (char *)&decoded);
  g_byte_array_unref (bytes);
}

/* Truncated bytes cannot be decoded, wherever they are cut, except where a
   message of a version ends that does not know calls, when it was sent, or
   the digest of its head.  */
static void
test_request_cut_short (void)
{
  struct forward_request sent = { .method = (char *)"GET",
                                  .target = (char *)"/",
                                  .headers = (char *)"",
                                  .request.is_call = TRUE,
                                  .request.head_digest = 11,
                                  .sent_at = 7 };
  GByteArray *bytes = wire_encode (wire_forward_request, &sent, 65536);
  guint length;

  for (length = 0;
       length < bytes->len - CALL_BYTES - SENT_AT_BYTES - HEAD_BYTES; length++)
    {
      struct forward_request decoded = { 0 };
      CU_ASSERT_EQUAL (
          wire_decode (wire_forward_request, &decoded, bytes->data, length),
          ERR_MALFORMED);
    }
  for (; length < bytes->len; length++)
    {
      struct forward_request decoded = { .request.is_call = TRUE,
                                         .request.head_digest = 5,
                                         .sent_at = 9 };
      gboolean knows_calls = length >= bytes->len - SENT_AT_BYTES - HEAD_BYTES;
      gboolean knows_time = length >= bytes->len - HEAD_BYTES;
      CU_ASSERT_EQUAL (
          wire_decode (wire_forward_request, &decoded, bytes->data, length),
          ERR_NONE);
      CU_ASSERT_EQUAL (decoded.request.is_call, knows_calls);
      CU_ASSERT_EQUAL (decoded.sent_at, knows_time ? 7 : 0);
      CU_ASSERT_EQUAL (decoded.request.head_digest, 0);
      xdr_free ((xdrproc_t)wire_forward_request, (char *)&decoded);
    }
  g_byte_array_unref (bytes);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "request round trip", test_request_round_trip },
          { "request cut short", test_request_cut_short },
          CU_TEST_INFO_NULL };

  return suite_run ("wire_forward", tests);
}
