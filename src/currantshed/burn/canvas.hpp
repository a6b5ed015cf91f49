#ifndef CURRANTSHED_BURN_CANVAS_HPP
#define CURRANTSHED_BURN_CANVAS_HPP

#include <memory>
#include <string>

#include <cairo.h>

#include "currantshed/burn/fwd.hpp"

namespace currantshed::burn {

/// A colour with components from 0 to 1.
struct colour
{
  double red;
  double green;
  double blue;
};

/// Draws lines and text on a white image with cairo. Coordinates are in pixels
/// from the upper left corner.
class canvas
{
public:
  canvas(double aWidth, double aHeight);

  /// Draws left-aligned text; aX and aY are the start of its baseline.
  void DrawText(double aX,
                double aY,
                double aSize,
                const colour& aColour,
                const std::string& aText);

  /// Draws right-aligned text; aX and aY are the end of its baseline.
  void DrawTextEndingAt(double aX,
                        double aY,
                        double aSize,
                        const colour& aColour,
                        const std::string& aText);

  /// Width of the text in pixels.
  [[nodiscard]] double TextWidth(const std::string& aText, double aSize);

  void DrawLine(double aX1,
                double aY1,
                double aX2,
                double aY2,
                const colour& aColour,
                double aWidth,
                bool aIsDashed = false);

  /// Starts a polyline.
  void BeginPath();

  /// Adds a point to the polyline.
  void LineTo(double aX, double aY);

  /// Draws the polyline.
  void Stroke(const colour& aColour, double aWidth);

  /// Writes the image as PNG; returns false if the file cannot be written.
  [[nodiscard]] bool Save(const std::string& aFile);

private:
  void SetColour(const colour& aColour);

  std::unique_ptr<cairo_surface_t, decltype(&cairo_surface_destroy)> mSurface;
  std::unique_ptr<cairo_t, decltype(&cairo_destroy)> mContext;
};

} // namespace currantshed::burn

#endif
