#include "bench/svg.h"

#include <stdio.h>
#include <string.h>

/* Draws the tables of a bench report: one picture for each figure measured by
   nodes, one for the imbalance of each trouble in a deployment.  Reads the
   report on standard input and writes pictures and, on standard output, the
   lines that show them.  Usage: bench_plot FOLDER.  */

#define LINE_SIZE 1024
#define SCALE_CELLS 4u /* what, nodes, value, unit */
#define PLACE_CELLS 7u /* deployment, trouble, way, imbalance, ... */

/* A picture that is being filled.  */
struct picture
{
  char *title;  /* what it shows, NULL for none yet */
  char *unit;   /* in what */
  GArray *bars; /* struct svg_bar */
};

/* The cells of a table's row, without the empty ones at its ends; free with
   g_strfreev.  NULL if LINE is no row.  */
static char **
split_row (char *line)
{
  char **cells;
  guint i;

  g_strstrip (line);
  if (line[0] != '|' || line[1] == '-' || strlen (line) < 3)
    return NULL;
  line[strlen (line) - 1] = '\0';
  cells = g_strsplit (line + 1, "|", -1);
  for (i = 0; cells[i] != NULL; i++)
    g_strstrip (cells[i]);
  return cells;
}

/* Write PICTURE to FOLDER if it has more than one bar, and empty it.  */
static void
flush (struct picture *picture, const char *folder)
{
  char *name;
  char *path;

  if (picture->title != NULL && picture->bars->len > 1)
    {
      name = g_strcanon (g_strdup (picture->title),
                         "abcdefghijklmnopqrstuvwxyz0123456789", '-');
      path = g_strdup_printf ("%s/%s.svg", folder, name);
      if (svg_write (path, picture->title, picture->unit, picture->bars))
        printf ("![%s](%s.svg)\n\n", picture->title, name);
      g_free (path);
      g_free (name);
    }
  g_clear_pointer (&picture->title, g_free);
  g_clear_pointer (&picture->unit, g_free);
  g_array_set_size (picture->bars, 0);
}

/* Add a bar to the picture TITLE, beginning it if another one is open.  */
static void
add (struct picture *picture, const char *folder, const char *title,
     const char *unit, const char *label, const char *value,
     const char *colour)
{
  struct svg_bar bar
      = { .value = g_ascii_strtod (value, NULL), .colour = colour };

  if (picture->title == NULL || strcmp (picture->title, title) != 0)
    {
      flush (picture, folder);
      picture->title = g_strdup (title);
      picture->unit = g_strdup (unit);
    }
  g_strlcpy (bar.label, label, sizeof bar.label);
  g_array_append_val (picture->bars, bar);
}

/* Take one row of a table in.  */
static void
take_row (GHashTable *pictures, struct picture *imbalance, const char *folder,
          char **cells)
{
  guint count = g_strv_length (cells);
  struct picture *picture;
  char *title;

  if (count == PLACE_CELLS && strcmp (cells[0], "deployment") != 0)
    {
      title = g_strdup_printf ("%s %s", cells[0], cells[1]);
      add (imbalance, folder, title, "imbalance", cells[2], cells[3],
           strcmp (cells[2], "placed") == 0 ? "seagreen" : "silver");
      g_free (title);
    }
  if (count != SCALE_CELLS || strcmp (cells[0], "what") == 0
      || strcmp (cells[1], "0") == 0)
    return;
  picture = g_hash_table_lookup (pictures, cells[0]);
  if (picture == NULL)
    {
      picture = g_new0 (struct picture, 1);
      picture->bars = g_array_new (FALSE, TRUE, sizeof (struct svg_bar));
      g_hash_table_insert (pictures, g_strdup (cells[0]), picture);
    }
  add (picture, folder, cells[0], cells[3], cells[1], cells[2], "steelblue");
}

int
main (int argc, char **argv)
{
  GHashTable *pictures = g_hash_table_new (g_str_hash, g_str_equal);
  struct picture imbalance = { NULL, NULL, NULL };
  char line[LINE_SIZE];
  GHashTableIter iter;
  gpointer picture;

  if (argc < 2)
    return 2;
  imbalance.bars = g_array_new (FALSE, TRUE, sizeof (struct svg_bar));
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char **cells = split_row (line);
      if (cells != NULL)
        take_row (pictures, &imbalance, argv[1], cells);
      g_strfreev (cells);
    }
  flush (&imbalance, argv[1]);
  g_hash_table_iter_init (&iter, pictures);
  while (g_hash_table_iter_next (&iter, NULL, &picture))
    flush (picture, argv[1]);
  return 0;
}
