#ifndef TESTS_CONFIG_TEXT_H
#define TESTS_CONFIG_TEXT_H

#include <glib.h>

/* The text of a configuration as the platform's store returns it.  */

/* Return version 2 with COUNT routes, whose names are drawn.  Free it with
   g_string_free.  */
static inline GString *
config_text (guint count)
{
  GString *text = g_string_new (
      "{\"version\":\"r2\",\"services\":{\"columns\":[\"name\"],\"rows\":[]},"
      "\"routes\":{\"columns\":[\"name\",\"host\",\"path-prefix\","
      "\"service\",\"route-type\",\"timeout-ms\",\"target-latency-ms\","
      "\"max-attempts\",\"priority\"],\"rows\":[");
  GRand *random = g_rand_new_with_seed (1);
  guint i;

  for (i = 0; i < count; i++)
    g_string_append_printf (
        text,
        "%s[\"%08x\",\"%06x.example\",\"/%08x/%u/\",\"s%04x\","
        "\"idempotent\",%u,500,3,2]",
        i > 0 ? "," : "", g_rand_int (random), g_rand_int (random) % 0x1000000,
        g_rand_int (random), i, g_rand_int (random) % 0x10000,
        500 + g_rand_int (random) % 2000);
  g_string_append (text, "]}}");
  g_rand_free (random);
  return text;
}

#endif
