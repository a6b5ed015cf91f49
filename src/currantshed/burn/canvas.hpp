#ifndef CURRANTSHED_BURN_CANVAS_HPP
#define CURRANTSHED_BURN_CANVAS_HPP

#include <memory>
#include <string>

#include <cairo.h>

#include "currantshed/burn/fwd.hpp"

namespace currantshed::burn {

/// A colour by its shares of red, green and blue, each from zero to one.
struct colour
{
  double red;
  double green;
  double blue;
};

/// Lines and texts on a white picture, through cairo. Lengths are in pixels,
/// from the upper left corner.
class canvas
{
public:
  canvas(double aWidth, double aHeight);

  /// Writes a text that begins at the given place of its base line.
  void DrawText(double aX,
                double aY,
                double aSize,
                const colour& aColour,
                const std::string& aText);

  /// Writes a text that ends at the given place.
  void DrawTextEndingAt(double aX,
                        double aY,
                        double aSize,
                        const colour& aColour,
                        const std::string& aText);

  /// Width of a text in pixels.
  [[nodiscard]] double TextWidth(const std::string& aText, double aSize);

  void DrawLine(double aX1,
                double aY1,
                double aX2,
                double aY2,
                const colour& aColour,
                double aWidth,
                bool aIsDashed = false);

  /// Begins a line of many points.
  void BeginPath();

  /// Goes on to the next point.
  void LineTo(double aX, double aY);

  /// Draws the line of many points.
  void Stroke(const colour& aColour, double aWidth);

  /// Writes the picture as PNG; false if the file can't be written.
  [[nodiscard]] bool Save(const std::string& aFile);

private:
  void SetColour(const colour& aColour);

  std::unique_ptr<cairo_surface_t, decltype(&cairo_surface_destroy)> mSurface;
  std::unique_ptr<cairo_t, decltype(&cairo_destroy)> mContext;
};

} // namespace currantshed::burn

#endif
