"""What faces other boxes: notices, and the rates that all boxes share."""
