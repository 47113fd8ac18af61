#include "bench/svg.h"

#define BAR_WIDTH 90    /* pixels from one bar to the next */
#define BAR_FILL 60     /* pixels of the width of a bar */
#define PLOT_HEIGHT 200 /* pixels above the base line, bar and value */
#define MARGIN 40       /* pixels around the bars */

/* Return the maximum value of BARS, or 1 if all values are 0.  */
static gdouble
max_value (const GArray *bars)
{
  gdouble value = 0;
  guint i;

  for (i = 0; i < bars->len; i++)
    value = MAX (value, g_array_index (bars, struct svg_bar, i).value);
  return value > 0 ? value : 1;
}

/* Append TEXT to TO as a line centred at pixel X, with its base line at pixel
   Y and a font size of SIZE pixels.  */
static void
add_text (GString *to, guint x, guint y, guint size, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);

  g_string_append_printf (
      to,
      "<text x=\"%u\" y=\"%u\" font-size=\"%u\" font-family=\"sans-serif\" "
      "text-anchor=\"middle\">%s</text>\n",
      x, y, size, escaped);
  g_free (escaped);
}

/* Append BAR to TO, HEIGHT pixels high, as bar NUMBER from the left, counted
   from 0, with its value above and its label below.  */
static void
add_bar (GString *to, const struct svg_bar *bar, guint number, guint height)
{
  guint middle = MARGIN + number * BAR_WIDTH + BAR_WIDTH / 2;
  guint bottom = MARGIN + PLOT_HEIGHT;
  char value[32];

  g_string_append_printf (to,
                          "<rect x=\"%u\" y=\"%u\" width=\"%u\" "
                          "height=\"%u\" fill=\"%s\"/>\n",
                          middle - BAR_FILL / 2, bottom - height, BAR_FILL,
                          height, bar->colour);
  g_snprintf (value, sizeof value, "%.4g", bar->value);
  add_text (to, middle, bottom - height - 4, 11, value);
  add_text (to, middle, bottom + 14, 10, bar->label);
}

/* Write a chart of BARS, with TITLE and UNIT as its heading, to the file PATH.
   Return FALSE if the file cannot be written.  */
gboolean
svg_write (const char *path, const char *title, const char *unit,
           const GArray *bars)
{
  GString *text = g_string_new (NULL);
  guint width = 2 * MARGIN + bars->len * BAR_WIDTH;
  gdouble max = max_value (bars);
  char *heading = g_strdup_printf ("%s, %s", title, unit);
  gboolean written;
  guint i;

  g_string_append_printf (text,
                          "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                          "width=\"%u\" height=\"%u\">\n",
                          width, PLOT_HEIGHT + 2 * MARGIN);
  g_string_append (text, "<rect width=\"100%\" height=\"100%\" "
                         "fill=\"white\"/>\n");
  add_text (text, width / 2, 18, 13, heading);
  for (i = 0; i < bars->len; i++)
    {
      const struct svg_bar *bar = &g_array_index (bars, struct svg_bar, i);
      add_bar (text, bar, i, (guint)(bar->value / max * (PLOT_HEIGHT - 10)));
    }
  g_string_append (text, "</svg>\n");
  written = g_file_set_contents (path, text->str, (gssize)text->len, NULL);
  g_string_free (text, TRUE);
  g_free (heading);
  return written;
}
