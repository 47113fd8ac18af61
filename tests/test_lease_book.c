#include "shard/lease_book.h"
#include "tests/suite.h"

#define MSEC ((gint64)1000)
#define NOW ((gint64)50000000)
#define HOLD_USEC ((gint64)3000000)

/* A book with what is to be granted and the last order.  */
struct fixture
{
  struct lease_book book;
  struct key_order order; /* last order */
  guint64 serial;         /* number of the last order */
  gint64 now;             /* current time */
};

/* Return a fixture whose map assigns FIRST to LAST under fence 5.  */
static struct fixture
make_fixture (guint32 first, guint32 last)
{
  struct fixture fixture = { .now = NOW };
  struct lease_piece piece = { first, last, 5, "old", FALSE };

  lease_book_init (&fixture.book);
  lease_book_update (&fixture.book, &piece, 1, fixture.now);
  return fixture;
}

/* Take the next order that is due.  Return FALSE if none is.  */
static gboolean
next (struct fixture *fixture)
{
  return lease_book_next_order (&fixture->book, ++fixture->serial,
                                fixture->now + HOLD_USEC, fixture->now,
                                &fixture->order);
}

/* End ORDER, number SERIAL, with CODE.  */
static void
end_order (struct fixture *fixture, guint64 serial,
           const struct key_order *order, enum err code)
{
  struct key_order_result result = {
    .serial = serial, .order = *order, .code = code, .handover_token = "token"
  };

  lease_book_on_ended (&fixture->book, &result, fixture->now);
}

/* End the last order with CODE after 2 ms.  */
static void
end (struct fixture *fixture, enum err code)
{
  fixture->now += 2 * MSEC;
  end_order (fixture, fixture->serial, &fixture->order, code);
}

/* Return whether requests for KEY may be sent.  */
static gboolean
is_open (const struct fixture *fixture, guint32 key)
{
  return lease_book_covers_key (&fixture->book, key, fixture->now);
}

/* Requests are sent only under a grant that was answered, and until it
   ends.  The grant is renewed before that.  */
static void
test_grant (void)
{
  struct fixture fixture = make_fixture (0, 99);

  CU_ASSERT_TRUE (next (&fixture));
  CU_ASSERT_EQUAL (fixture.order.kind, KEY_ORDER_GRANT);
  CU_ASSERT_STRING_EQUAL (fixture.order.handover_token, "old");
  CU_ASSERT_FALSE (is_open (&fixture, 50));
  CU_ASSERT_FALSE (next (&fixture));
  fixture.serial--;
  end (&fixture, ERR_NONE);
  CU_ASSERT_TRUE (is_open (&fixture, 50));
  CU_ASSERT_FALSE (is_open (&fixture, 100));
  CU_ASSERT_FALSE (next (&fixture));
  fixture.now += HOLD_USEC / 2;
  CU_ASSERT_TRUE (next (&fixture));
  fixture.now += HOLD_USEC;
  CU_ASSERT_FALSE (is_open (&fixture, 50));
  lease_book_clear (&fixture.book);
}

/* A grant without an answer is repeated under the same fence and opens
   nothing.  */
static void
test_no_answer (void)
{
  struct fixture fixture = make_fixture (0, 99);
  guint64 fence;

  CU_ASSERT_TRUE (next (&fixture));
  fence = fixture.order.fence;
  end (&fixture, ERR_INDETERMINATE);
  CU_ASSERT_FALSE (is_open (&fixture, 50));
  fixture.now += 100 * MSEC;
  CU_ASSERT_TRUE (next (&fixture));
  CU_ASSERT_EQUAL (fixture.order.fence, fence);
  lease_book_clear (&fixture.book);
}

/* Part of a grant is released under a higher fence; the rest stays open, and
   the keys count as released only after the answer.  */
static void
test_release_part (void)
{
  struct fixture fixture = make_fixture (0, 99);
  struct lease_piece pieces[] = { { 0, 39, 5, "old", FALSE },
                                  { 40, 59, 5, "old", TRUE },
                                  { 60, 99, 5, "old", FALSE } };
  struct shard shard = { .first = 40, .last = 59, .fence = 5 };
  const char *token;
  guint64 fence;

  next (&fixture);
  fence = fixture.order.fence;
  end (&fixture, ERR_NONE);
  lease_book_update (&fixture.book, pieces, 3, fixture.now);
  CU_ASSERT_TRUE (is_open (&fixture, 39));
  CU_ASSERT_FALSE (is_open (&fixture, 40));
  CU_ASSERT_TRUE (is_open (&fixture, 60));
  CU_ASSERT_TRUE (next (&fixture));
  CU_ASSERT_EQUAL (fixture.order.kind, KEY_ORDER_RELEASE);
  CU_ASSERT_EQUAL (fixture.order.first, 40);
  CU_ASSERT_EQUAL (fixture.order.last, 59);
  CU_ASSERT_TRUE (fixture.order.fence > fence);
  CU_ASSERT_FALSE (lease_book_is_released (&fixture.book, &shard, &token));
  CU_ASSERT_TRUE (lease_book_is_surrendered (&fixture.book, &shard));
  end (&fixture, ERR_NONE);
  CU_ASSERT_TRUE (lease_book_is_released (&fixture.book, &shard, &token));
  CU_ASSERT_STRING_EQUAL (token, "token");
  lease_book_clear (&fixture.book);
}

/* Keys of which a release was sent are not granted again under their fence,
   though the map says so again.  */
static void
test_no_return (void)
{
  struct fixture fixture = make_fixture (0, 99);
  struct lease_piece piece = { 0, 99, 5, "old", TRUE };
  struct shard shard = { .first = 0, .last = 99, .fence = 5 };

  next (&fixture);
  end (&fixture, ERR_NONE);
  lease_book_update (&fixture.book, &piece, 1, fixture.now);
  next (&fixture);
  piece.release = FALSE;
  lease_book_update (&fixture.book, &piece, 1, fixture.now);
  end (&fixture, ERR_NONE);
  fixture.now += 1000 * MSEC;
  CU_ASSERT_FALSE (next (&fixture));
  CU_ASSERT_FALSE (is_open (&fixture, 50));
  CU_ASSERT_TRUE (lease_book_is_surrendered (&fixture.book, &shard));
  piece.fence = 8;
  lease_book_update (&fixture.book, &piece, 1, fixture.now);
  CU_ASSERT_TRUE (next (&fixture));
  CU_ASSERT_EQUAL (fixture.order.kind, KEY_ORDER_GRANT);
  end (&fixture, ERR_NONE);
  CU_ASSERT_TRUE (is_open (&fixture, 50));
  lease_book_clear (&fixture.book);
}

/* A refusal for a higher fence uses up the fence of the range that was asked
   for.  A refusal of a call that was sent before the range was cut only says
   that some part has a higher fence.  */
static void
test_fence_refused (void)
{
  struct fixture fixture = make_fixture (0, 99);
  struct lease_piece pieces[]
      = { { 0, 39, 5, "old", FALSE }, { 40, 99, 5, "old", TRUE } };
  struct shard low = { .first = 0, .last = 39, .fence = 5 };
  struct key_order whole;
  guint64 whole_serial;

  next (&fixture);
  whole = fixture.order;
  whole_serial = fixture.serial;
  lease_book_update (&fixture.book, pieces, 2, fixture.now);
  next (&fixture);
  CU_ASSERT_EQUAL (fixture.order.kind, KEY_ORDER_RELEASE);
  end_order (&fixture, whole_serial, &whole, ERR_CONFLICT);
  CU_ASSERT_FALSE (lease_book_is_surrendered (&fixture.book, &low));
  CU_ASSERT_TRUE (next (&fixture));
  CU_ASSERT_EQUAL (fixture.order.kind, KEY_ORDER_GRANT);
  CU_ASSERT_EQUAL (fixture.order.last, 39);
  end (&fixture, ERR_CONFLICT);
  CU_ASSERT_TRUE (lease_book_is_surrendered (&fixture.book, &low));
  lease_book_clear (&fixture.book);
}

/* A server that denies to hold a key gets no requests for its range until the
   range is granted again.  The answer of an earlier renewal does not count. */
static void
test_denied (void)
{
  struct fixture fixture = make_fixture (0, 99);
  struct key_order renewal;
  guint64 renewal_serial;

  next (&fixture);
  end (&fixture, ERR_NONE);
  fixture.now += HOLD_USEC / 2;
  next (&fixture);
  renewal = fixture.order;
  renewal_serial = fixture.serial;
  lease_book_on_denied (&fixture.book, 50, fixture.now);
  CU_ASSERT_FALSE (is_open (&fixture, 50));
  end_order (&fixture, renewal_serial, &renewal, ERR_NONE);
  CU_ASSERT_FALSE (is_open (&fixture, 50));
  CU_ASSERT_TRUE (next (&fixture));
  end (&fixture, ERR_NONE);
  CU_ASSERT_TRUE (is_open (&fixture, 50));
  lease_book_clear (&fixture.book);
}

/* Nothing is granted without a session, and releases go on.  */
static void
test_no_session (void)
{
  struct fixture fixture = make_fixture (0, 99);
  struct lease_piece piece = { 0, 99, 5, "old", TRUE };

  CU_ASSERT_FALSE (lease_book_next_order (&fixture.book, 1, 0, fixture.now,
                                          &fixture.order));
  lease_book_update (&fixture.book, &piece, 1, fixture.now);
  CU_ASSERT_TRUE (lease_book_next_order (&fixture.book, 1, 0, fixture.now,
                                         &fixture.order));
  CU_ASSERT_EQUAL (fixture.order.kind, KEY_ORDER_RELEASE);
  lease_book_clear (&fixture.book);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "grant and renewal", test_grant },
                          { "a grant without an answer", test_no_answer },
                          { "release of a part", test_release_part },
                          { "no return after a release", test_no_return },
                          { "a higher fence was seen", test_fence_refused },
                          { "the server denies a key", test_denied },
                          { "no session", test_no_session },
                          CU_TEST_INFO_NULL };

  return suite_run ("lease_book", tests);
}
