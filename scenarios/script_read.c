#include "scenarios/script.h"

#include <stdarg.h>
#include <string.h>

/* Reading the words of a statement, and failing.  */

/* Failing */

/* Remember the first reason why the scenario fails.  */
void
script_fail (struct script *script, const char *format, ...)
{
  va_list args;

  if (script->failure[0] != '\0')
    return;
  va_start (args, format);
  g_vsnprintf (script->failure, sizeof script->failure, format, args);
  va_end (args);
}

/* Reading */

/* Tell whether the statement has ended.  */
gboolean
script_at_end (struct script *script)
{
  GTokenType next = g_scanner_peek_next_token (script->scanner);

  return next == '\n' || next == G_TOKEN_EOF;
}

/* Take the word WORD if it comes next.  */
gboolean
script_accept_word (struct script *script, const char *word)
{
  if (g_scanner_peek_next_token (script->scanner) != G_TOKEN_IDENTIFIER
      || strcmp (script->scanner->next_value.v_identifier, word) != 0)
    return FALSE;
  g_scanner_get_next_token (script->scanner);
  return TRUE;
}

/* Take the character C if it comes next.  */
gboolean
script_accept_char (struct script *script, char c)
{
  if (g_scanner_peek_next_token (script->scanner) != (GTokenType)c)
    return FALSE;
  g_scanner_get_next_token (script->scanner);
  return TRUE;
}

/* Take a name; good until the next one is read.  */
const char *
script_read_name (struct script *script)
{
  if (g_scanner_get_next_token (script->scanner) == G_TOKEN_IDENTIFIER)
    return script->scanner->value.v_identifier;
  script_fail (script, "line %u: a name is wanted", script->scanner->line);
  return "";
}

/* Take a number.  */
gdouble
script_read_number (struct script *script)
{
  switch (g_scanner_get_next_token (script->scanner))
    {
    case G_TOKEN_INT:
      return (gdouble)script->scanner->value.v_int64;
    case G_TOKEN_FLOAT:
      return script->scanner->value.v_float;
    default:
      script_fail (script, "line %u: a number is wanted",
                   script->scanner->line);
      return 0;
    }
}

/* Tell whether the name of a node comes next: n and its number.  */
gboolean
script_next_is_node (struct script *script)
{
  return g_scanner_peek_next_token (script->scanner) == G_TOKEN_IDENTIFIER
         && script->scanner->next_value.v_identifier[0] == 'n'
         && g_ascii_isdigit (script->scanner->next_value.v_identifier[1]);
}

/* Take the name of a node, counted from 0.  */
guint
script_read_node (struct script *script)
{
  const char *name = script_read_name (script);
  guint n = name[0] == 'n' ? (guint)g_ascii_strtoull (name + 1, NULL, 10) : 0;

  if (n >= 1 && n <= script->world.node_count)
    return n - 1;
  script_fail (script, "line %u: %s is no node", script->scanner->line, name);
  return 0;
}
