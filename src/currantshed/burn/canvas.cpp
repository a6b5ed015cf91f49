#include "currantshed/burn/canvas.hpp"

namespace currantshed::burn {

canvas::canvas(double aWidth, double aHeight)
  : mSurface(cairo_image_surface_create(CAIRO_FORMAT_RGB24,
                                        static_cast<int>(aWidth),
                                        static_cast<int>(aHeight)),
             &cairo_surface_destroy)
  , mContext(cairo_create(mSurface.get()), &cairo_destroy)
{
  SetColour({ 1, 1, 1 });
  cairo_paint(mContext.get());
  cairo_select_font_face(mContext.get(),
                         "sans-serif",
                         CAIRO_FONT_SLANT_NORMAL,
                         CAIRO_FONT_WEIGHT_NORMAL);
}

void
canvas::SetColour(const colour& aColour)
{
  cairo_set_source_rgb(
    mContext.get(), aColour.red, aColour.green, aColour.blue);
}

void
canvas::DrawText(double aX,
                 double aY,
                 double aSize,
                 const colour& aColour,
                 const std::string& aText)
{
  SetColour(aColour);
  cairo_set_font_size(mContext.get(), aSize);
  cairo_move_to(mContext.get(), aX, aY);
  cairo_show_text(mContext.get(), aText.c_str());
}

void
canvas::DrawTextEndingAt(double aX,
                         double aY,
                         double aSize,
                         const colour& aColour,
                         const std::string& aText)
{
  DrawText(aX - TextWidth(aText, aSize), aY, aSize, aColour, aText);
}

double
canvas::TextWidth(const std::string& aText, double aSize)
{
  cairo_text_extents_t extents;
  cairo_set_font_size(mContext.get(), aSize);
  cairo_text_extents(mContext.get(), aText.c_str(), &extents);
  return extents.x_advance;
}

void
canvas::DrawLine(double aX1,
                 double aY1,
                 double aX2,
                 double aY2,
                 const colour& aColour,
                 double aWidth,
                 bool aIsDashed)
{
  constexpr double kDash[] = { 6, 4 };
  SetColour(aColour);
  cairo_set_line_width(mContext.get(), aWidth);
  cairo_set_dash(mContext.get(), kDash, aIsDashed ? 2 : 0, 0);
  cairo_move_to(mContext.get(), aX1, aY1);
  cairo_line_to(mContext.get(), aX2, aY2);
  cairo_stroke(mContext.get());
  cairo_set_dash(mContext.get(), nullptr, 0, 0);
}

void
canvas::BeginPath()
{
  cairo_new_path(mContext.get());
}

void
canvas::LineTo(double aX, double aY)
{
  cairo_line_to(mContext.get(), aX, aY);
}

void
canvas::Stroke(const colour& aColour, double aWidth)
{
  SetColour(aColour);
  cairo_set_line_width(mContext.get(), aWidth);
  cairo_set_line_join(mContext.get(), CAIRO_LINE_JOIN_ROUND);
  cairo_stroke(mContext.get());
}

bool
canvas::Save(const std::string& aFile)
{
  cairo_surface_flush(mSurface.get());
  return cairo_surface_write_to_png(mSurface.get(), aFile.c_str()) ==
         CAIRO_STATUS_SUCCESS;
}

} // namespace currantshed::burn
