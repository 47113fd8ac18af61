#include "bench/svg.h"

#include <stdio.h>
#include <string.h>

/* Draws bar charts of the tables of a benchmark report: one chart for each
   figure measured by number of nodes, one for the imbalance in each case of a
   deployment.  Reads the report from standard input, writes SVG files to
   FOLDER and Markdown image links to standard output.  Usage: bench_plot
   FOLDER.  */

#define LINE_SIZE 1024 /* bytes of the longest line that is read */
#define SCALE_CELLS 4u /* what, nodes, value, unit */
#define PLACE_CELLS 7u /* deployment, case, policy, imbalance, ... */

/* A chart whose values are being collected.  */
struct chart
{
  char *title;  /* title of the chart, NULL if none is open */
  char *unit;   /* unit of the values */
  GArray *bars; /* of struct svg_bar, one for each value */
};

/* Return the cells of the table row LINE, without the empty ones at its ends;
   free them with g_strfreev.  Return NULL if LINE is not a table row.  */
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

/* Write CHART to FOLDER if it has more than one bar, and empty it.  */
static void
write_chart (struct chart *chart, const char *folder)
{
  char *name;
  char *path;

  if (chart->title != NULL && chart->bars->len > 1)
    {
      name = g_strcanon (g_strdup (chart->title),
                         "abcdefghijklmnopqrstuvwxyz0123456789", '-');
      path = g_strdup_printf ("%s/%s.svg", folder, name);
      if (svg_write (path, chart->title, chart->unit, chart->bars))
        printf ("![%s](%s.svg)\n\n", chart->title, name);
      g_free (path);
      g_free (name);
    }
  g_clear_pointer (&chart->title, g_free);
  g_clear_pointer (&chart->unit, g_free);
  g_array_set_size (chart->bars, 0);
}

/* Add a bar with VALUE, a number as text, and LABEL to CHART.  If CHART has
   another title than TITLE, write it to FOLDER first and start a new one.  */
static void
add_value (struct chart *chart, const char *folder, const char *title,
           const char *unit, const char *label, const char *value,
           const char *colour)
{
  struct svg_bar bar
      = { .value = g_ascii_strtod (value, NULL), .colour = colour };

  if (chart->title == NULL || strcmp (chart->title, title) != 0)
    {
      write_chart (chart, folder);
      chart->title = g_strdup (title);
      chart->unit = g_strdup (unit);
    }
  g_strlcpy (bar.label, label, sizeof bar.label);
  g_array_append_val (chart->bars, bar);
}

/* Add the row CELLS to its chart: to IMBALANCE if it is of the placement
   table, else to the one of CHARTS with the name of its figure.  */
static void
add_row (GHashTable *charts, struct chart *imbalance, const char *folder,
         char **cells)
{
  guint count = g_strv_length (cells);
  struct chart *chart;
  char *title;

  if (count == PLACE_CELLS && strcmp (cells[0], "deployment") != 0)
    {
      title = g_strdup_printf ("%s %s", cells[0], cells[1]);
      add_value (imbalance, folder, title, "imbalance", cells[2], cells[3],
                 strcmp (cells[2], "placed") == 0 ? "seagreen" : "silver");
      g_free (title);
    }
  if (count != SCALE_CELLS || strcmp (cells[0], "what") == 0
      || strcmp (cells[1], "0") == 0)
    return;
  chart = g_hash_table_lookup (charts, cells[0]);
  if (chart == NULL)
    {
      chart = g_new0 (struct chart, 1);
      chart->bars = g_array_new (FALSE, TRUE, sizeof (struct svg_bar));
      g_hash_table_insert (charts, g_strdup (cells[0]), chart);
    }
  add_value (chart, folder, cells[0], cells[3], cells[1], cells[2],
             "steelblue");
}

int
main (int argc, char **argv)
{
  GHashTable *charts = g_hash_table_new (g_str_hash, g_str_equal);
  struct chart imbalance = { NULL, NULL, NULL };
  char line[LINE_SIZE];
  GHashTableIter iter;
  gpointer chart;

  if (argc < 2)
    return 2;
  imbalance.bars = g_array_new (FALSE, TRUE, sizeof (struct svg_bar));
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      char **cells = split_row (line);
      if (cells != NULL)
        add_row (charts, &imbalance, argv[1], cells);
      g_strfreev (cells);
    }
  write_chart (&imbalance, argv[1]);
  g_hash_table_iter_init (&iter, charts);
  while (g_hash_table_iter_next (&iter, NULL, &chart))
    write_chart (chart, argv[1]);
  return 0;
}
