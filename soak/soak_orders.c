#include "soak/soak_orders.h"

#include "platform/json_fields.h"
#include "types/clock.h"
#include "types/shard.h"

#include <string.h>

#define LATE_MSEC_MIN 2000u  /* shortest delay of a late call */
#define LATE_MSEC_SPAN 4000u /* the longest is this much longer */
#define CHECK_STRIDE 61u     /* keys between two that are compared */

/* A call.  */
struct soak_order
{
  struct soak_orders *orders; /* keys that it is for */
  guint process;              /* process of the server that it reached */
  gboolean is_grant;          /* grants keys; otherwise takes them back */
  gint64 first;               /* lowest key */
  gint64 last;                /* highest key */
  gint64 fence;               /* fencing token */
  gint64 hold_msec;           /* grant: time to hold */
};

/* Initialize ORDERS without any keys.  */
void
soak_orders_init (struct soak_orders *orders)
{
  memset (orders, 0, sizeof *orders);
  orders->held_until = g_new0 (gint64, SHARD_KEY_COUNT);
  orders->timely_until = g_new0 (gint64, SHARD_KEY_COUNT);
  orders->seen_fence = g_new0 (guint64, SHARD_KEY_COUNT);
}

/* Free the memory of ORDERS.  */
void
soak_orders_clear (struct soak_orders *orders)
{
  g_free (orders->held_until);
  g_free (orders->timely_until);
  g_free (orders->seen_fence);
}

/* Forget all keys, as a new process of the server.  */
void
soak_orders_reset (struct soak_orders *orders)
{
  memset (orders->held_until, 0, SHARD_KEY_COUNT * sizeof (gint64));
  memset (orders->timely_until, 0, SHARD_KEY_COUNT * sizeof (gint64));
  memset (orders->seen_fence, 0, SHARD_KEY_COUNT * sizeof (guint64));
  orders->process++;
}

/* Read BODY into ORDER.  Return FALSE if it is malformed.  */
static gboolean
read_order (const GByteArray *body, struct soak_order *order)
{
  JsonParser *parser = json_fields_parse (body->data, body->len);
  gboolean valid = FALSE;

  if (parser != NULL)
    {
      JsonObject *root = json_fields_root (parser);
      valid = json_field_number (root, "from", &order->first)
              && json_field_number (root, "target-version", &order->last)
              && json_field_number (root, "fence", &order->fence)
              && (!order->is_grant
                  || json_field_number (root, "hold-ms", &order->hold_msec))
              && order->first >= 0 && order->first <= order->last
              && order->last < (gint64)SHARD_KEY_COUNT;
      g_object_unref (parser);
    }
  return valid;
}

/* Carry out ORDER, which is late or not.  Return FALSE if a higher fence was
   seen on one of its keys.  */
static gboolean
carry_out (const struct soak_order *order, gboolean is_late)
{
  struct soak_orders *orders = order->orders;
  gint64 until = clock_usec () + order->hold_msec * USEC_PER_MSEC;
  gint64 key;

  for (key = order->first; order->is_grant && key <= order->last; key++)
    if (orders->seen_fence[key] > (guint64)order->fence)
      return FALSE;
  for (key = order->first; key <= order->last; key++)
    {
      orders->seen_fence[key]
          = MAX (orders->seen_fence[key], (guint64)order->fence);
      if (!order->is_grant)
        orders->held_until[key] = orders->timely_until[key] = 0;
      else
        {
          orders->held_until[key] = MAX (orders->held_until[key], until);
          if (!is_late)
            orders->timely_until[key] = orders->held_until[key];
        }
    }
  return TRUE;
}

/* Carry out a late call.  Timer callback; DATA is the call.  */
static gboolean
on_late (gpointer data)
{
  struct soak_order *order = data;

  if (order->process == order->orders->process)
    carry_out (order, TRUE);
  g_free (order);
  return G_SOURCE_REMOVE;
}

/* Delay ORDER, which gets no answer.  */
static void
delay (const struct soak_order *order)
{
  guint msec
      = LATE_MSEC_MIN + order->orders->call_count * 997u % LATE_MSEC_SPAN;

  g_timeout_add (msec, on_late, g_memdup2 (order, sizeof *order));
}

/* Handle the request in EVENT with BODY if it is a call for keys.  Return
   whether it is.  */
gboolean
soak_orders_handle (struct soak_orders *orders,
                    struct http_server *http_server,
                    const struct http_server_event *event,
                    const GByteArray *body)
{
  struct soak_order order = { .orders = orders, .process = orders->process };
  SoupMessageHeaders *headers;

  order.is_grant = strcmp (event->head->target, "/api/grant") == 0;
  if (!order.is_grant && strcmp (event->head->target, "/api/release") != 0)
    return FALSE;
  orders->call_count++;
  headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  if (!order.is_grant)
    soup_message_headers_append (headers, "Handover", "t");
  if (!read_order (body, &order))
    http_server_answer (http_server, event->request, SOUP_STATUS_BAD_REQUEST,
                        NULL, "");
  else if (orders->call_count % SOAK_LATE_ONE_IN == 0)
    delay (&order);
  else if (!carry_out (&order, FALSE))
    http_server_answer (http_server, event->request, SOUP_STATUS_CONFLICT,
                        NULL, "");
  else
    http_server_answer (http_server, event->request, SOUP_STATUS_OK, headers,
                        "");
  soup_message_headers_unref (headers);
  return TRUE;
}

/* Return whether A and B both hold a key at NOW by calls that were not late.
   Set KEY to the first that is found; a part of the keys is compared.  */
gboolean
soak_orders_overlap (const struct soak_orders *a, const struct soak_orders *b,
                     gint64 now, guint32 *key)
{
  for (*key = 0; *key < SHARD_KEY_COUNT; *key += CHECK_STRIDE)
    if (a->timely_until[*key] > now && b->timely_until[*key] > now)
      return TRUE;
  return FALSE;
}
