#include "operator/document_keys.h"

#include <iostream>

int main()
{
    std::cout << plantaingap::operators::documentKeys();
    return 0;
}
