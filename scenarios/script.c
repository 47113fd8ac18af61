#include "scenarios/script.h"

#include <string.h>

#define DEFAULT_SEED 1u
#define LOAD_KEYS 40u                /* keys that the load is spread over */
#define PROBE_TIMEOUT_USEC 800000    /* a probe's deadline */
#define REQUEST_TIMEOUT_USEC 3000000 /* a request's deadline */

/* Time and load */

/* Send a probe, an idempotent request for KEY, to node N.  */
void
script_send_probe (struct script *script, const char *key, guint n)
{
  struct request request
      = { .run_class = RUN_IDEMPOTENT, .priority = PRIORITY_NORMAL };

  g_strlcpy (request.service, WORLD_SERVICE, sizeof request.service);
  g_strlcpy (request.key, script->world.slice_count > 0 ? key : "",
             sizeof request.key);
  g_snprintf (request.id, sizeof request.id, "probe-%u",
              ++script->probe_count);
  request.digest = 1000000u + script->probe_count;
  request.deadline = script->world.now + PROBE_TIMEOUT_USEC;
  world_submit (&script->world, n, &request, TRUE);
}

/* Send the load's next probe, to each node in turn.  */
static void
send_load (struct script *script)
{
  char key[KEY_SIZE];

  g_snprintf (key, sizeof key, "load-%u", script->probe_count % LOAD_KEYS);
  script_send_probe (script, key,
                     script->probe_count % script->world.node_count);
  script->next_probe_at += script->load_interval_usec;
}

/* Let the world go on until UNTIL, with the load.  */
void
script_run_until (struct script *script, gint64 until)
{
  struct world *world = &script->world;

  while (script->load_interval_usec > 0 && script->next_probe_at <= until)
    {
      world_run_until (world, script->next_probe_at);
      send_load (script);
    }
  world_run_until (world, until);
  if (world->failure[0] != '\0')
    script_fail (script, "%s", world->failure);
}

/* Statements */

/* nodes N zones Z (divided slices S | undivided).  */
static void
do_nodes (struct script *script)
{
  guint count = (guint)script_read_number (script);
  guint zones = 1;
  guint32 slices = 0;

  if (script_accept_word (script, "zones"))
    zones = (guint)script_read_number (script);
  if (script_accept_word (script, "divided")
      && script_accept_word (script, "slices"))
    slices = (guint32)script_read_number (script);
  else
    script_accept_word (script, "undivided");
  world_start (&script->world, count, zones, slices);
  world_publish (&script->world, "c0", "op0");
  script->started_at = script->world.now;
}

/* at T: let the world go on until then.  */
static void
do_at (struct script *script)
{
  script_run_until (
      script, script->started_at
                  + (gint64)(script_read_number (script) * G_USEC_PER_SEC));
}

/* wait T: let the world go on for so long.  */
static void
do_wait (struct script *script)
{
  script_run_until (
      script, script->world.now
                  + (gint64)(script_read_number (script) * G_USEC_PER_SEC));
}

/* request id=R key=K at N [once] [digest=D].  */
static void
do_request (struct script *script)
{
  struct request request
      = { .run_class = RUN_IDEMPOTENT, .priority = PRIORITY_NORMAL };
  guint n = 0;

  g_strlcpy (request.service, WORLD_SERVICE, sizeof request.service);
  request.deadline = script->world.now + REQUEST_TIMEOUT_USEC;
  while (!script_at_end (script) && script->failure[0] == '\0')
    {
      if (script_accept_word (script, "id")
          && script_accept_char (script, '='))
        g_strlcpy (request.id, script_read_name (script), sizeof request.id);
      else if (script_accept_word (script, "key")
               && script_accept_char (script, '='))
        g_strlcpy (request.key, script_read_name (script), sizeof request.key);
      else if (script_accept_word (script, "digest")
               && script_accept_char (script, '='))
        request.digest = (guint64)script_read_number (script);
      else if (script_accept_word (script, "at"))
        n = script_read_node (script);
      else if (script_accept_word (script, "once"))
        request.run_class = RUN_ONCE;
      else
        script_fail (script, "line %u: not part of a request",
                     script->scanner->line);
    }
  if (request.digest == 0)
    request.digest = g_str_hash (request.id) + 1u;
  world_submit (&script->world, n, &request, FALSE);
}

/* publish C by O.  */
static void
do_publish (struct script *script)
{
  char name[NAME_SIZE];

  g_strlcpy (name, script_read_name (script), sizeof name);
  if (!script_accept_word (script, "by"))
    script_fail (script, "line %u: by whom?", script->scanner->line);
  world_publish (&script->world, name, script_read_name (script));
}

/* load every T | load off.  */
static void
do_load (struct script *script)
{
  script->load_interval_usec = 0;
  if (script_accept_word (script, "off"))
    return;
  if (!script_accept_word (script, "every"))
    script_fail (script, "line %u: load every, or off", script->scanner->line);
  script->load_interval_usec
      = (gint64)(script_read_number (script) * G_USEC_PER_SEC);
  script->next_probe_at = script->world.now;
}

/* The words up to the end of the line, into TEXT.  */
static void
take_words (struct script *script, GString *text)
{
  while (!script_at_end (script) && script->failure[0] == '\0')
    g_string_append_printf (text, "%s%s", text->len > 0 ? " " : "",
                            script_read_name (script));
}

/* Do the statement that begins with WORD.  */
static void
do_statement (struct script *script, const char *word)
{
  if (strcmp (word, "invariant") == 0)
    take_words (script, script->invariant);
  else if (strcmp (word, "failures") == 0)
    take_words (script, script->injected_faults);
  else if (strcmp (word, "seed") == 0)
    g_rand_set_seed (script->world.net.random,
                     (guint32)script_read_number (script));
  else if (strcmp (word, "nodes") == 0)
    do_nodes (script);
  else if (strcmp (word, "at") == 0)
    do_at (script);
  else if (strcmp (word, "wait") == 0)
    do_wait (script);
  else if (strcmp (word, "request") == 0)
    do_request (script);
  else if (strcmp (word, "publish") == 0)
    do_publish (script);
  else if (strcmp (word, "load") == 0)
    do_load (script);
  else if (strcmp (word, "random") == 0)
    script_random (script);
  else if (strcmp (word, "expect") == 0)
    script_expect (script);
  else
    script_inject_fault (script, word);
}

/* Set up the scanner: words with letters, digits and hyphens; # begins a
   comment; a line ends a statement.  */
static GScanner *
make_scanner (const char *text)
{
  GScanner *scanner = g_scanner_new (NULL);

  scanner->config->cset_skip_characters = (char *)" \t\r";
  scanner->config->cset_identifier_first = (char *)G_CSET_a_2_z G_CSET_A_2_Z;
  scanner->config->cset_identifier_nth
      = (char *)G_CSET_a_2_z G_CSET_A_2_Z "0123456789-";
  scanner->config->cpair_comment_single = (char *)"#\n";
  scanner->config->scan_identifier_1char = TRUE;
  scanner->config->scan_identifier_NULL = FALSE;
  scanner->config->scan_symbols = FALSE;
  scanner->config->scan_octal = FALSE;
  scanner->config->store_int64 = TRUE;
  scanner->config->case_sensitive = TRUE;
  g_scanner_input_text (scanner, text, (guint)strlen (text));
  return scanner;
}

/* Do the statements of FILE.  SCRIPT->fault tells whether they all held.  */
enum err
script_run (struct script *script, const char *file, gboolean verbose)
{
  char *text;

  memset (script, 0, sizeof *script);
  script->seed = DEFAULT_SEED;
  script->invariant = g_string_new (NULL);
  script->injected_faults = g_string_new (NULL);
  world_init (&script->world, DEFAULT_SEED);
  script->world.verbose = verbose;
  if (!g_file_get_contents (file, &text, NULL, NULL))
    return ERR_IO;
  script->scanner = make_scanner (text);
  while (script->failure[0] == '\0'
         && g_scanner_get_next_token (script->scanner) != G_TOKEN_EOF)
    {
      char word[NAME_SIZE];
      if (script->scanner->token == (GTokenType)'\n')
        continue;
      if (script->scanner->token != G_TOKEN_IDENTIFIER)
        {
          script_fail (script, "line %u: a statement is wanted",
                       script->scanner->line);
          break;
        }
      g_strlcpy (word, script->scanner->value.v_identifier, sizeof word);
      do_statement (script, word);
      if (script->failure[0] == '\0' && !script_at_end (script))
        script_fail (script, "line %u: the line goes on",
                     script->scanner->line);
    }
  g_free (text);
  return ERR_NONE;
}

/* Release what SCRIPT holds.  */
void
script_clear (struct script *script)
{
  if (script->scanner != NULL)
    g_scanner_destroy (script->scanner);
  g_string_free (script->invariant, TRUE);
  g_string_free (script->injected_faults, TRUE);
  world_clear (&script->world);
}
